package query

import (
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// NodeReport is what one node counted of its calls in the last minute.
type NodeReport struct {
	VM      string
	Classes map[string]ClassCounts // by name; those without calls may be left out
	Ejected []Ejection
}

// Ejection is an endpoint that a node has stopped sending calls to.
type Ejection struct {
	Service, VM, Instance string
	FailedPercent         uint32
}

// Reports adds up the reports of the nodes that answered. It keeps sums only:
// the largest reports of 1,200 nodes, held at once, would take more memory than
// control may have.
type Reports struct {
	Asked    int
	Answered int
	Missing  []string // VMs that did not answer in time
	At       time.Time

	classes map[string]*classSum
	ejected map[endpointKey]*ejectionSum
}

type endpointKey struct{ service, vm, instance string }

// ejectionSum counts the nodes that ejected an endpoint. One that a single node
// ejected points to that node's way there; one that many ejected fails its
// calls.
type ejectionSum struct {
	nodes int
	worst uint32 // percentage of failed calls
}

// NewReports returns reports of nobody so far.
func NewReports() *Reports {
	return &Reports{classes: make(map[string]*classSum), ejected: make(map[endpointKey]*ejectionSum)}
}

// Add takes in the report of one more node.
func (r *Reports) Add(n NodeReport) {
	r.Answered++
	for class, c := range n.Classes {
		s := r.classes[class]
		if s == nil {
			s = newClassSum()
			r.classes[class] = s
		}
		s.add(c)
	}
	for _, e := range n.Ejected {
		k := endpointKey{e.Service, e.VM, e.Instance}
		s := r.ejected[k]
		if s == nil {
			s = new(ejectionSum)
			r.ejected[k] = s
		}
		s.nodes++
		s.worst = max(s.worst, e.FailedPercent)
	}
}

// Classes returns a report for each target, in their order. A class that was
// reported and is in no target was withdrawn meanwhile, and is left out.
func (r *Reports) Classes(targets []*config.Target) []ClassReport {
	out := make([]ClassReport, 0, len(targets))
	for _, t := range targets {
		s := r.classes[t.Name]
		if s == nil {
			s = newClassSum()
		}
		out = append(out, s.report(t))
	}
	return out
}

// ejections returns the endpoints that nodes have ejected, each once.
func (r *Reports) ejections(v *membership.View) []Endpoint {
	var out []Endpoint
	for k, s := range r.ejected {
		out = append(out, Endpoint{
			Service: k.service, VM: k.vm, Instance: k.instance, DataCentre: centreOf(v, k.vm),
			State: EndpointEjected, Nodes: s.nodes,
			Reason: fmt.Sprintf("up to %d%% of its recent calls failed", s.worst),
		})
	}
	return out
}

func centreOf(v *membership.View, vm string) string {
	if r := v.Records[vm]; r != nil {
		return r.VM.DataCentre
	}
	return ""
}

// unreported returns the nodes that were asked in vain.
func (r *Reports) unreported(v *membership.View, now time.Time) []SilentNode {
	var out []SilentNode
	for _, vm := range r.Missing {
		n := SilentNode{VM: vm, DataCentre: centreOf(v, vm)}
		if rec := v.Records[vm]; rec != nil {
			n.AgeMS = age(now, rec.UpdatedAt)
		}
		out = append(out, n)
	}
	return out
}

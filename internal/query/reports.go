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

// Reports are the reports of the nodes that answered.
type Reports struct {
	Asked   int
	Nodes   []NodeReport
	Missing []string // VMs that did not answer in time
	At      time.Time
}

// Classes returns a report for each target, in their order. A class that is in
// a node's report and in no target was withdrawn meanwhile, and is left out.
func (r Reports) Classes(targets []*config.Target) []ClassReport {
	out := make([]ClassReport, 0, len(targets))
	for _, t := range targets {
		var counts []ClassCounts
		for _, n := range r.Nodes {
			if c, ok := n.Classes[t.Name]; ok {
				counts = append(counts, c)
			}
		}
		out = append(out, NewClassReport(t, counts...))
	}
	return out
}

// ejected returns the endpoints that nodes have ejected, each once. One that a
// single node ejected points to that node's way there; one that many ejected
// fails its calls.
func (r Reports) ejected(v *membership.View) []Endpoint {
	type key struct{ service, vm, instance string }
	at := make(map[key]int)
	worst := make(map[key]uint32)
	var out []Endpoint
	for _, n := range r.Nodes {
		for _, e := range n.Ejected {
			k := key{e.Service, e.VM, e.Instance}
			i, ok := at[k]
			if !ok {
				i = len(out)
				at[k] = i
				out = append(out, Endpoint{
					Service: e.Service, VM: e.VM, Instance: e.Instance, State: EndpointEjected,
					DataCentre: centreOf(v, e.VM),
				})
			}
			worst[k] = max(worst[k], e.FailedPercent)
			out[i].Nodes++
			out[i].Reason = fmt.Sprintf("up to %d%% of its recent calls failed", worst[k])
		}
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
func (r Reports) unreported(v *membership.View, now time.Time) []SilentNode {
	var out []SilentNode
	for _, vm := range r.Missing {
		n := SilentNode{VM: vm, DataCentre: centreOf(v, vm)}
		if rec := v.Records[vm]; rec != nil {
			n.AgeMS = age(now, rec.Heard)
		}
		out = append(out, n)
	}
	return out
}

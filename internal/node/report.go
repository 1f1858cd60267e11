package node

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/query"
)

// Bounds of asking all nodes what they counted. One handover asks each node
// once; operators who ask within reportsFor of each other share the answers.
const (
	reportBound = 2 * time.Second
	reportWidth = 256
	reportsFor  = 5 * time.Second
)

// reports tells what this node counted of its calls, and asks the others.
type reports struct {
	n    *Node
	one  singleflight.Group
	last atomic.Pointer[query.Reports]
}

// Report implements peer.Reporter.
func (r *reports) Report() (*peerpb.Packed, error) { return packReport(r.own(time.Now())) }

// own returns this node's own report.
func (r *reports) own(now time.Time) *peerpb.Report {
	out := new(peerpb.Report)
	for _, f := range r.n.calls.meters.Stats(now) {
		if f.Answered > 0 || len(f.Refused) > 0 {
			out.Classes = append(out.Classes, countsOf(f))
		}
	}
	out.Ejections = r.n.calls.pickers.ejections(now)
	return out
}

func countsOf(f proxy.ClassStats) *peerpb.ClassCounts {
	c := &peerpb.ClassCounts{Class: f.Class, Answered: f.Answered, Failed: f.Failed, Within: f.InTarget}
	for why, n := range f.Refused {
		c.Refused = append(c.Refused, &peerpb.RefusedCalls{Reason: string(why), Calls: n})
	}
	fine := make(query.Histogram, len(f.Latency))
	for i, l := range f.Latency {
		fine[i] = query.LatencyCount{AtMost: l.AtMost, Calls: l.Calls}
	}
	for _, l := range fine.Coarse() {
		c.AtMostUs = append(c.AtMostUs, uint64(l.AtMost.Microseconds()))
		c.Calls = append(c.Calls, l.Calls)
	}
	return c
}

// ejections lists the endpoints that this node has ejected.
func (p *pickers) ejections(now time.Time) []*peerpb.Ejection {
	var out []*peerpb.Ejection
	for service, picker := range *p.byService.Load() {
		for _, s := range picker.Endpoints(now) {
			if !s.Ejected {
				continue
			}
			_, instance, _ := strings.Cut(s.Endpoint.ID, endpointSep)
			out = append(out, &peerpb.Ejection{
				Service: service, Vm: s.Endpoint.VM, Instance: instance,
				FailedPercent: uint32(math.Round(100 * s.FailureRate)),
			})
		}
	}
	return out
}

// collect returns the reports of all nodes that carry traffic and answer within
// the bound. It doesn't end with the operator's request: another one may wait
// for the same answers.
func (r *reports) collect(ctx context.Context) *query.Reports {
	if last := r.last.Load(); last != nil && time.Since(last.At) < reportsFor {
		return last
	}
	v, _, _ := r.one.Do("", func() (any, error) {
		got := r.ask(context.WithoutCancel(ctx))
		r.last.Store(got)
		return got, nil
	})
	return v.(*query.Reports)
}

func (r *reports) ask(ctx context.Context) *query.Reports {
	ctx, cancel := context.WithTimeout(ctx, reportBound)
	defer cancel()
	peers := reporting(r.n.views.Load())
	out := query.NewReports()
	out.Asked = len(peers) + 1
	var mu sync.Mutex // guards out; not held while a peer is asked
	var g errgroup.Group
	g.SetLimit(reportWidth)
	for _, p := range peers {
		g.Go(func() error {
			packed, err := r.n.control.peers.Report(ctx, p.ID, p.ControlAddr)
			mu.Lock()
			defer mu.Unlock()
			// Under the lock, so that one report at a time is unpacked: many
			// would take tens of megabytes.
			if err == nil {
				err = addTo(out, p.ID, packed)
			}
			if err != nil {
				out.Missing = append(out.Missing, p.ID)
				r.n.log.Debug().Err(err).Str("peer", p.ID).Msg("handover: a node did not report")
			}
			return nil
		})
	}
	_ = g.Wait() // no function returns an error
	slices.Sort(out.Missing)
	out.At = time.Now()
	out.Add(reportOf(r.n.self.ID, r.own(out.At)))
	return out
}

func addTo(out *query.Reports, vm string, packed *peerpb.Packed) error {
	report, err := unpackReport(packed)
	if err == nil {
		out.Add(reportOf(vm, report))
	}
	return err
}

// reporting returns the other nodes that can be asked. Those that the
// membership suspects are listed as silent anyway, and asking them would only
// use up the bound.
func reporting(v *membership.View) []membership.VM {
	var out []membership.VM
	for id, r := range v.Records {
		if id != v.Self && (r.State == membership.VMAlive || r.State == membership.VMLeaving) {
			out = append(out, r.VM)
		}
	}
	return out
}

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

// Limits for collecting reports from all nodes. A handover queries each node once; handovers within
// reportCacheTTL of each other share the result.
const (
	reportTimeout        = 2 * time.Second
	maxConcurrentReports = 256
	reportCacheTTL       = 5 * time.Second
)

// reports returns this node's call statistics and collects those of the other nodes.
type reports struct {
	n       *Node
	queries singleflight.Group
	last    atomic.Pointer[query.Reports]
}

// Report implements peer.Reporter.
func (r *reports) Report() (*peerpb.Packed, error) { return packReport(r.ownReport(time.Now())) }

// ownReport returns this node's own report.
func (r *reports) ownReport(now time.Time) *peerpb.Report {
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
	for reason, n := range f.Refused {
		c.Refused = append(c.Refused, &peerpb.RefusedCalls{Reason: string(reason), Calls: n})
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

// collect returns the reports of all nodes that take calls and answer in time. It does not end
// with the operator's request, since another request may wait for the same result.
func (r *reports) collect(ctx context.Context) *query.Reports {
	if last := r.last.Load(); last != nil && time.Since(last.At) < reportCacheTTL {
		return last
	}
	v, _, _ := r.queries.Do("", func() (any, error) {
		got := r.queryNodes(context.WithoutCancel(ctx))
		r.last.Store(got)
		return got, nil
	})
	return v.(*query.Reports)
}

func (r *reports) queryNodes(ctx context.Context) *query.Reports {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	peers := reportingNodes(r.n.views.Load())
	out := query.NewReports()
	out.Asked = len(peers) + 1
	var mu sync.Mutex // guards out; not held during a query
	var g errgroup.Group
	g.SetLimit(maxConcurrentReports)
	for _, p := range peers {
		g.Go(func() error {
			packed, err := r.n.control.peers.Report(ctx, p.ID, p.ControlAddr)
			mu.Lock()
			defer mu.Unlock()
			// Unpacked under the lock, one report at a time: many at once would take
			// tens of megabytes.
			if err == nil {
				err = addReport(out, p.ID, packed)
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
	out.Add(reportOf(r.n.self.ID, r.ownReport(out.At)))
	return out
}

func addReport(out *query.Reports, vm string, packed *peerpb.Packed) error {
	report, err := unpackReport(packed)
	if err == nil {
		out.Add(reportOf(vm, report))
	}
	return err
}

// reportingNodes returns the other nodes to query. Nodes under suspicion are listed as silent
// anyway, and querying them would only use up the timeout.
func reportingNodes(v *membership.View) []membership.VM {
	var out []membership.VM
	for id, r := range v.Records {
		if id != v.Self && (r.State == membership.VMAlive || r.State == membership.VMLeaving) {
			out = append(out, r.VM)
		}
	}
	return out
}

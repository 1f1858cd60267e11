package node

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/route"
)

// endpointSep joins VM and instance into the ID of an endpoint. Neither may
// contain it.
const endpointSep = "/"

// pickers keeps one route.Picker for each service that some node holds, and
// feeds them from the membership view.
type pickers struct {
	self      membership.VM
	mu        sync.Mutex // serialises writers
	byService atomic.Pointer[map[string]*route.Picker]
	none      *route.Picker // of a service that no node holds
	ready     atomic.Pointer[map[string]int]
	plain     proxy.RoundRobin // the baseline, see Policies
}

func newPickers(self membership.VM) *pickers {
	p := &pickers{self: self, none: route.New(route.Options{Self: self.ID})}
	p.byService.Store(&map[string]*route.Picker{})
	p.ready.Store(&map[string]int{})
	return p
}

// update takes in a new view. A service that no node holds any more keeps its
// picker, with no endpoints: its observations are wanted if it comes back.
func (p *pickers) update(now time.Time, v *membership.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoints := endpointsOf(v)
	next := make(map[string]*route.Picker, len(endpoints))
	for service, picker := range *p.byService.Load() {
		next[service] = picker
	}
	for service := range endpoints {
		if next[service] == nil {
			next[service] = route.New(route.Options{
				Self: p.self.ID, DataCentre: p.self.DataCentre, Region: p.self.Region,
			})
		}
	}
	entries := nodesIn(v, p.self.DataCentre)
	for service, picker := range next {
		picker.SetEntryNodes(entries)
		picker.Update(now, endpoints[service])
	}
	p.byService.Store(&next)
	p.plain.Set(plainEndpoints(endpoints))
	ready := countReady(endpoints)
	p.ready.Store(&ready)
}

// plainEndpoints returns the endpoints that take calls.
func plainEndpoints(endpoints map[string][]route.Endpoint) map[string][]proxy.Endpoint {
	out := make(map[string][]proxy.Endpoint, len(endpoints))
	for service, list := range endpoints {
		for _, e := range list {
			if e.Ready && !e.Draining {
				out[service] = append(out[service], proxyEndpoint(e))
			}
		}
	}
	return out
}

func proxyEndpoint(e route.Endpoint) proxy.Endpoint {
	_, instance, _ := strings.Cut(e.ID, endpointSep)
	return proxy.Endpoint{ID: e.ID, VM: e.VM, Instance: instance, Addr: e.Addr}
}

func countReady(endpoints map[string][]route.Endpoint) map[string]int {
	out := make(map[string]int, len(endpoints))
	for service, list := range endpoints {
		for _, e := range list {
			if e.Ready && !e.Draining {
				out[service]++
			}
		}
	}
	return out
}

// nodesIn counts the nodes of a data centre: each may be an entry node.
func nodesIn(v *membership.View, dc string) int {
	n := 0
	for _, r := range v.Records {
		if r.VM.DataCentre == dc {
			n++
		}
	}
	return max(n, 1)
}

func endpointsOf(v *membership.View) map[string][]route.Endpoint {
	out := make(map[string][]route.Endpoint)
	for _, r := range v.Records {
		for _, b := range r.Backends {
			out[b.Service] = append(out[b.Service], endpointOf(r, b))
		}
	}
	return out
}

func endpointOf(r *membership.Seen, b membership.Backend) route.Endpoint {
	e := route.Endpoint{
		ID:         r.VM.ID + endpointSep + b.Instance,
		VM:         r.VM.ID,
		DataCentre: r.VM.DataCentre,
		Region:     r.VM.Region,
		Addr:       r.VM.CallAddr,
		Slots:      b.Slots,
		Ready:      b.State == membership.BackendReady,
		Draining:   b.State == membership.BackendDraining || r.State == membership.VMLeaving,
		Suspect:    r.State == membership.VMSuspect,
	}
	if b.ReadySince != 0 {
		e.ReadySince = time.UnixMilli(b.ReadySince)
	}
	return e
}

// holders returns how many backend servers of a service take calls.
func (p *pickers) holders(service string) int { return (*p.ready.Load())[service] }

// of returns the picker of a service; it knows no endpoints if no node holds it.
func (p *pickers) of(service string) *route.Picker {
	if picker := (*p.byService.Load())[service]; picker != nil {
		return picker
	}
	return p.none
}

// Pick implements proxy.Pickers.
func (p *pickers) Pick(now time.Time, t *config.Target, tried []string) (proxy.Choice, error) {
	picker := p.of(t.Service)
	pick := picker.Pick
	if t.Idempotent {
		pick = picker.PickRepeatable
	}
	c, err := pick(now, tried)
	if err != nil {
		return nil, err
	}
	return newChoice(c), nil
}

// PickFixed implements proxy.Pickers.
func (p *pickers) PickFixed(now time.Time, t *config.Target, key uint64, tried []string) (proxy.Choice, error) {
	c, err := p.of(t.Service).PickFixed(now, key, tried)
	if err != nil {
		return nil, err
	}
	return newChoice(c), nil
}

// choice gives route.Choice the shape that the proxy asks for. It is used again
// after Done.
type choice struct{ c route.Choice }

var choices = sync.Pool{New: func() any { return new(choice) }}

func newChoice(c route.Choice) *choice {
	out := choices.Get().(*choice)
	out.c = c
	return out
}

func (c *choice) Endpoint() proxy.Endpoint {
	return proxyEndpoint(*c.c.Endpoint())
}

func (c *choice) Done(now time.Time, r proxy.Report) {
	c.c.Done(now, route.Report{
		Outcome: r.Outcome,
		Failed:  r.Failed,
		Refused: r.Refused,
		Latency: r.Latency,
		Load:    route.Load{Busy: r.Load.Busy, Slots: r.Load.Slots, Present: r.Load.Known},
	})
	*c = choice{}
	choices.Put(c)
}

package node

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/route"
)

// endpointSep joins VM and instance into the ID of an endpoint. Neither may contain it.
const endpointSep = "/"

// pickers keeps one route.Picker for each service in the mesh and updates them from the
// membership view.
type pickers struct {
	self        membership.VM
	mu          sync.Mutex // serialises writers, and guards the next four fields
	view        *membership.View
	cache       map[string]cachedEndpoints  // endpoints of each record, by VM
	endpoints   map[string][]route.Endpoint // by service
	entryNodes  int                         // number of entry nodes that the subsets are sized for
	byService   atomic.Pointer[map[string]*route.Picker]
	empty       *route.Picker // for services without endpoints
	sizes       answerSizes
	regionWide  bool // see route.Options
	onEject     func(endpoint string, ejected bool, failing float64)
	readyCounts atomic.Pointer[map[string]int]
	roundRobin  *proxy.RoundRobin // updated as well if not nil; see Policies
}

func newPickers(self membership.VM, regionWide bool) *pickers {
	p := &pickers{
		self: self, regionWide: regionWide, cache: make(map[string]cachedEndpoints), endpoints: make(map[string][]route.Endpoint),
		empty: route.New(route.Options{Self: self.ID}),
	}
	p.byService.Store(&map[string]*route.Picker{})
	p.readyCounts.Store(&map[string]int{})
	return p
}

// update applies a new view. It rebuilds only the services whose endpoints differ from the
// previous view: at 1,200 nodes some record changes many times a second while a data centre
// returns, and nearly all services stay the same. A service without endpoints keeps its
// picker, so that its statistics are still there if it returns.
func (p *pickers) update(now time.Time, v *membership.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entryNodes := countNodes(v, p.self.DataCentre)
	changed := p.changedServices(v, entryNodes)
	p.view = v
	if len(changed) == 0 {
		return
	}
	fresh := p.endpointsOf(v, changed)
	next := maps.Clone(*p.byService.Load())
	ready := maps.Clone(*p.readyCounts.Load())
	for service := range changed {
		picker := next[service]
		if picker == nil {
			picker = route.New(route.Options{
				Self: p.self.ID, DataCentre: p.self.DataCentre, Region: p.self.Region,
				RegionWide: p.regionWide, OnEject: p.onEject,
			})
			next[service] = picker
		}
		picker.SetEntryNodes(p.entryNodes)
		picker.Update(now, fresh[service])
		p.endpoints[service] = fresh[service]
		ready[service] = countReady(fresh[service])
	}
	p.byService.Store(&next)
	p.readyCounts.Store(&ready)
	if p.roundRobin != nil {
		p.roundRobin.Set(routableEndpoints(p.endpoints))
	}
}

// entryNodeDrift is the relative change in the number of entry nodes above which the subsets
// of all services are resized.
const entryNodeDrift = 0.1

// changedServices returns the services whose endpoints differ between v and the previous view,
// or all services if the number of entry nodes has changed by more than entryNodeDrift.
func (p *pickers) changedServices(v *membership.View, entryNodes int) map[string]bool {
	changed := make(map[string]bool)
	drifted := math.Abs(float64(entryNodes-p.entryNodes)) > entryNodeDrift*float64(p.entryNodes)
	if drifted {
		p.entryNodes = entryNodes
		for service := range *p.byService.Load() {
			changed[service] = true
		}
	}
	var old map[string]*membership.ObservedRecord
	if p.view != nil {
		old = p.view.Records
	}
	for id, r := range v.Records {
		if previous := old[id]; previous != r && !sameEndpoints(previous, r) {
			addServices(changed, previous)
			addServices(changed, r)
		}
	}
	for id, previous := range old {
		if v.Records[id] == nil {
			addServices(changed, previous)
		}
	}
	return changed
}

// sameEndpoints reports whether two records of one VM result in the same endpoints.
func sameEndpoints(a, b *membership.ObservedRecord) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.VM == b.VM && a.State == b.State && slices.Equal(a.Backends, b.Backends)
}

// addServices adds the services of a record, which may be nil.
func addServices(services map[string]bool, r *membership.ObservedRecord) {
	if r == nil {
		return
	}
	for _, b := range r.Backends {
		services[b.Service] = true
	}
}

// routableEndpoints returns the endpoints that are ready and not draining, by service.
func routableEndpoints(endpoints map[string][]route.Endpoint) map[string][]proxy.Endpoint {
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

func countReady(list []route.Endpoint) int {
	n := 0
	for _, e := range list {
		if e.Ready && !e.Draining {
			n++
		}
	}
	return n
}

// countNodes returns the number of nodes of a data centre, at least 1. Each may be an entry
// node.
func countNodes(v *membership.View, dc string) int {
	n := 0
	for _, r := range v.Records {
		if r.VM.DataCentre == dc {
			n++
		}
	}
	return max(n, 1)
}

// cachedEndpoints holds the endpoints of one record, one for each backend server.
type cachedEndpoints struct {
	record    *membership.ObservedRecord
	endpoints []route.Endpoint
}

// endpointsOf returns the endpoints of the given services. Endpoints of unchanged records come
// from the cache.
func (p *pickers) endpointsOf(v *membership.View, services map[string]bool) map[string][]route.Endpoint {
	out := make(map[string][]route.Endpoint, len(services))
	for service := range services {
		out[service] = make([]route.Endpoint, 0, len(p.endpoints[service])+1)
	}
	for id, r := range v.Records {
		cached := p.cache[id]
		if cached.record != r {
			cached = buildEndpoints(r)
			p.cache[id] = cached
		}
		for i, b := range r.Backends {
			if services[b.Service] {
				out[b.Service] = append(out[b.Service], cached.endpoints[i])
			}
		}
	}
	if len(p.cache) > len(v.Records) {
		maps.DeleteFunc(p.cache, func(id string, _ cachedEndpoints) bool { return v.Records[id] == nil })
	}
	return out
}

func buildEndpoints(r *membership.ObservedRecord) cachedEndpoints {
	cached := cachedEndpoints{record: r, endpoints: make([]route.Endpoint, len(r.Backends))}
	for i, b := range r.Backends {
		cached.endpoints[i] = endpointOf(r, b)
	}
	return cached
}

func endpointOf(r *membership.ObservedRecord, b membership.Backend) route.Endpoint {
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
		Canary:     b.Canary,
	}
	if b.ReadySince != 0 {
		e.ReadySince = time.UnixMilli(b.ReadySince)
	}
	return e
}

// readyBackends returns the number of backend servers of a service that take calls.
func (p *pickers) readyBackends(service string) int { return (*p.readyCounts.Load())[service] }

// forService returns the picker of a service, without endpoints if no node holds the service.
func (p *pickers) forService(service string) *route.Picker {
	if picker := (*p.byService.Load())[service]; picker != nil {
		return picker
	}
	return p.empty
}

// Pick implements proxy.Pickers.
func (p *pickers) Pick(now time.Time, t *config.Target, info proxy.PickInfo) (proxy.Choice, error) {
	picker := p.forService(t.Service)
	size := p.sizes.forClass(t.Name)
	var c route.Choice
	var err error
	if info.Scope != proxy.NoSearch {
		c, err = picker.PickFreeSlot(now, info.Scope == proxy.SearchDataCentre, info.Tried)
	} else if t.RatePerSecond > 0 && len(info.Tried) > 0 {
		// Every endpoint has an equal part of the rate. Where most callers are in one data
		// centre, the unused rate is in the others.
		c, err = picker.PickAnywhere(now, info.Tried)
	} else {
		c, err = picker.PickFor(now, route.PickInfo{Tried: info.Tried, Idempotent: t.Idempotent, RemoteCost: size.remoteCost()})
	}
	if err != nil {
		return nil, err
	}
	return newChoice(c, size), nil
}

// PickFixed implements proxy.Pickers.
func (p *pickers) PickFixed(now time.Time, t *config.Target, key uint64, tried []string) (proxy.Choice, error) {
	c, err := p.forService(t.Service).PickByKey(now, key, tried)
	if err != nil {
		return nil, err
	}
	return newChoice(c, p.sizes.forClass(t.Name)), nil
}

// TriedAll implements proxy.Pickers.
func (p *pickers) TriedAll(now time.Time, t *config.Target, tried []string) bool {
	return p.forService(t.Service).TriedAll(now, tried)
}

// endpointByKey returns the ID of the endpoint that route.Picker.PickByKey picks, or "" if
// there is none.
func (p *pickers) endpointByKey(now time.Time, service string, key uint64, avoid []string) string {
	return p.forService(service).EndpointByKey(now, key, avoid)
}

// choice adapts route.Choice to proxy.Choice. It returns to choicePool on Done.
type choice struct {
	c    route.Choice
	size *answerSize
}

var choicePool = sync.Pool{New: func() any { return new(choice) }}

func newChoice(c route.Choice, size *answerSize) *choice {
	out := choicePool.Get().(*choice)
	out.c, out.size = c, size
	return out
}

func (c *choice) Endpoint() proxy.Endpoint {
	return proxyEndpoint(*c.c.Endpoint())
}

func (c *choice) Done(now time.Time, r proxy.Report) {
	c.c.Done(now, route.Report{
		Outcome:   r.Outcome,
		Failed:    r.Failed,
		Cancelled: r.Cancelled,
		Refused:   r.Refused,
		Latency:   r.Latency, LinkWait: r.LinkWait,
		Load:        route.Load{Busy: r.Load.Busy, Slots: r.Load.Slots, Present: r.Load.Known},
		RateLimited: r.Advertised.RateLimit.Present, RateLimit: r.Advertised.RateLimit.PerSecond,
		Leaving: r.Advertised.Leaving, RetryAfter: r.RetryAfter, Run: r.Run,
	})
	if r.Outcome == call.Ran && !r.Failed {
		c.size.add(r.Bytes)
	}
	*c = choice{}
	choicePool.Put(c)
}

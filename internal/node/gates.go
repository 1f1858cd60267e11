package node

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
)

// gates keeps one limit.Gate for each backend server of this VM.
type gates struct {
	mu         sync.Mutex // serialises writers
	byInstance atomic.Pointer[map[string]*limit.Gate]
	// departed holds the gates of backend servers that left while calls ran, or that advertised a
	// rate limit.
	departed map[string]departedGate
}

type departedGate struct {
	*limit.Gate
	at time.Time
}

// keepDepartedLimit is how long the rate limit of a backend server that left is kept. It may only
// have been too slow to renew its lease.
const keepDepartedLimit = time.Minute

func newGates() *gates {
	g := &gates{departed: make(map[string]departedGate)}
	g.byInstance.Store(&map[string]*limit.Gate{})
	return g
}

// update configures one gate per backend server with the classes in force. The gate of a
// backend server that has left refuses its waiting calls. backendCount returns the number of
// ready backend servers of a service in the whole mesh.
//
// A gate is kept until its last call has ended. A backend server too busy to renew its lease in
// time announces itself anew while its calls still run, and a new gate would admit as many
// calls again. The gate of one that advertised a rate limit is kept for the same reason.
func (g *gates) update(now time.Time, list []announce.Backend, p *program, backendCount func(service string) int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := *g.byInstance.Load()
	next := make(map[string]*limit.Gate, len(list))
	for _, b := range list {
		gate := old[b.Instance]
		if gate == nil {
			gate = g.departed[b.Instance].Gate
		}
		if gate == nil {
			gate = limit.NewGate(limit.Options{})
		}
		delete(g.departed, b.Instance)
		classes := perBackendRates(p.limits[b.Service], backendCount(b.Service))
		gate.Configure(now, limit.Config{Slots: b.Slots, Classes: classes, Incarnation: b.Started, ByPriority: p.Keys != nil})
		if b.State == membership.BackendDraining {
			gate.Drain() // the waiting calls can still run elsewhere
		}
		next[b.Instance] = gate
	}
	g.byInstance.Store(&next)
	for instance, gate := range old {
		if next[instance] == nil {
			gate.Drain()
			g.departed[instance] = departedGate{gate, now}
		}
	}
	maps.DeleteFunc(g.departed, func(_ string, gate departedGate) bool {
		busy, _ := gate.Load()
		limited := gate.AdvertisedRate().Present && now.Sub(gate.at) < keepDepartedLimit
		return busy == 0 && !limited
	})
}

// perBackendRates returns the classes with the rate limit of a single backend server.
func perBackendRates(classes []limit.Class, backends int) []limit.Class {
	out := make([]limit.Class, len(classes))
	for i, c := range classes {
		c.RatePerSecond = limit.RatePerBackend(c.RatePerSecond, backends)
		out[i] = c
	}
	return out
}

// slotUse returns the slot usage of a backend server, or zeros if it has left.
func (g *gates) slotUse(b proxy.Backend) proxy.SlotUse {
	gate := (*g.byInstance.Load())[b.Instance]
	if gate == nil {
		return proxy.SlotUse{}
	}
	busy, limit := gate.Load()
	return proxy.SlotUse{Busy: busy, Limit: limit, Waiting: gate.Waiting(), AtRateLimit: gate.AtRateLimit()}
}

// observe records the rate limit that b advertised in its answer to a call that was sent at sent. It
// reports whether the limit in force has changed.
func (g *gates) observe(now, sent time.Time, b proxy.Backend, r limit.AdvertisedRate) (limit.RateChange, bool) {
	gate := (*g.byInstance.Load())[b.Instance]
	if gate == nil {
		return limit.RateChange{}, false // the backend server has left
	}
	return gate.Observe(now, sent, b.Started, r)
}

// adopt applies a rate limit that b advertised to another process. It reports whether the limit in
// force has changed.
func (g *gates) adopt(now time.Time, b proxy.Backend, started int64, r limit.AdvertisedRate) (limit.RateChange, bool) {
	gate := (*g.byInstance.Load())[b.Instance]
	if gate == nil {
		return limit.RateChange{}, false
	}
	return gate.Adopt(now, started, r)
}

// hasAnswered reports whether b has answered a call of this process.
func (g *gates) hasAnswered(b proxy.Backend) bool {
	gate := (*g.byInstance.Load())[b.Instance]
	return gate != nil && gate.HasAnswered()
}

// advertisedRate returns the rate limit of b that is in force.
func (g *gates) advertisedRate(b proxy.Backend) limit.AdvertisedRate {
	gate := (*g.byInstance.Load())[b.Instance]
	if gate == nil {
		return limit.AdvertisedRate{}
	}
	return gate.AdvertisedRate()
}

// Acquire implements proxy.Gates.
func (g *gates) Acquire(ctx context.Context, b proxy.Backend, t *config.Target, opts limit.AcquireOptions) (proxy.Permit, error) {
	gate := (*g.byInstance.Load())[b.Instance]
	if gate == nil {
		// The backend server left after it was looked up.
		return nil, errNotHeld
	}
	p, err := gate.Acquire(ctx, t.Name, opts)
	if err != nil {
		return nil, err
	}
	return p, nil
}

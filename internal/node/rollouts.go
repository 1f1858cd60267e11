package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/rollout"
	"github.com/marlpass/marlpass/internal/telemetry"
)

const (
	// closeDelay is how long a server of a replaced version still takes calls once
	// it is told as not ready: entry nodes learn of that in the meantime.
	closeDelay = 700 * time.Millisecond
	// admissionLag is more than a call takes from its admission until it counts as in flight.
	admissionLag = 100 * time.Millisecond
	// settleTime is how long after its start a node may still learn of servers of
	// another version that it can't have seen before.
	settleTime = 3 * time.Second
	// lapseCheckInterval is the time between two looks at grants that lapse.
	lapseCheckInterval = 100 * time.Millisecond
	// rolloutReadTimeout bounds a read of the orders and records.
	rolloutReadTimeout = 2 * time.Second
)

var (
	errVersionHeld  = &call.Refusal{Reason: call.ReasonNotReady, Detail: "its version takes no calls in the rollout"}
	errVersionQuota = &call.Refusal{Reason: call.ReasonBusy, Detail: "its version has had its calls in the rollout"}
)

// rollouts decides what the backend servers beside this node take while their service's
// calls move to another version. It adapts rollout.AdmissionController to
// the interface of the proxy.
type rollouts struct {
	n       *Node
	log     zerolog.Logger
	started time.Time

	mu       sync.Mutex // guards guards and the servers' fields but for those on a call's path
	guards   map[string]*rollout.AdmissionController
	fetching map[string]bool // services whose order is being read

	servers atomic.Pointer[map[string]*versionedServer] // by instance
	wake    chan struct{}
}

// versionedServer is a backend server with what it takes now.
type versionedServer struct {
	service, version string
	warmAt           time.Time
	// tally counts for the rollout of an order; nil before anyone has asked.
	tally     atomic.Pointer[rollout.Tally]
	order     uint64
	admission atomic.Pointer[serverAdmission]

	firstSeen time.Time // when it was first met
	settled   bool      // it takes calls until somebody says otherwise
}

// serverAdmission is a rollout.Admission in force at a server.
type serverAdmission struct {
	rollout.Admission
	remaining atomic.Int64 // calls, where the admission is limited
	// closesAt is when a server that isn't open any more takes its last call.
	closesAt time.Time
}

// accepts reports whether a call may be admitted.
func (a *serverAdmission) accepts(now time.Time) bool {
	if !a.Open {
		return now.Before(a.closesAt)
	}
	return a.Until.IsZero() || now.Before(a.Until)
}

func newRollouts(n *Node) *rollouts {
	r := &rollouts{
		n: n, log: telemetry.Part(n.log, "rollout"), started: time.Now(),
		guards: make(map[string]*rollout.AdmissionController), fetching: make(map[string]bool),
		wake: make(chan struct{}, 1),
	}
	r.servers.Store(&map[string]*versionedServer{})
	return r
}

// Admit implements proxy.Rollouts.
func (r *rollouts) Admit(now time.Time, instance string) *call.Refusal {
	s := (*r.servers.Load())[instance]
	if s == nil {
		return nil
	}
	a := s.admission.Load()
	switch {
	case !a.accepts(now):
		return errVersionHeld
	case a.Limited && a.remaining.Load() <= 0:
		return errVersionQuota
	}
	return nil
}

// Begin implements proxy.Rollouts.
func (r *rollouts) Begin(now time.Time, instance string) *call.Refusal {
	s := (*r.servers.Load())[instance]
	if s == nil {
		return nil
	}
	a := s.admission.Load()
	switch {
	case a.Limited && (!a.accepts(now) || a.remaining.Add(-1) < 0):
		return errVersionQuota
	case !a.Open && a.closesAt.IsZero():
		return errVersionHeld
	}
	// Calls that waited for a slot while a baseline was closed are still run: it isn't
	// drained before they have ended.
	return nil
}

// Ended implements proxy.Rollouts.
func (r *rollouts) Ended(now time.Time, instance, class string, took time.Duration, failed bool) {
	s := (*r.servers.Load())[instance]
	if s == nil {
		return
	}
	if tally := s.tally.Load(); tally != nil {
		tally.Add(class, took, !now.Add(-took).Before(s.warmAt), failed)
	}
}

// setBackends takes in the backend servers that announced themselves here, and returns them as
// other nodes are to see them.
func (r *rollouts) setBackends(now time.Time, list []announce.Backend) []announce.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.servers.Load()
	next := make(map[string]*versionedServer, len(list))
	out := slices.Clone(list)
	for i, b := range list {
		s := old[b.Instance]
		if s == nil || s.version != b.Version || s.service != b.Service {
			s = &versionedServer{service: b.Service, version: b.Version, firstSeen: now, warmAt: b.LoadAt.Add(b.WarmupRemaining)}
		}
		next[b.Instance] = s
		r.updateAdmission(now, s)
		a := s.admission.Load()
		out[i].Canary = a.Limited
		if b.State == membership.BackendReady && !a.Open {
			out[i].State = membership.BackendStarting
		}
	}
	r.servers.Store(&next)
	return out
}

// updateAdmission brings what a server takes up to date. The caller holds r.mu.
func (r *rollouts) updateAdmission(now time.Time, s *versionedServer) {
	was := s.admission.Load()
	g := r.guard(s.service)
	a := r.decideAdmission(now, s, g)
	s.settled = s.settled || a.Open && now.Sub(r.started) >= settleTime
	if was != nil && was.Admission == a {
		return
	}
	next := &serverAdmission{Admission: a}
	next.remaining.Store(int64(a.Limit))
	if was != nil && was.Open && !was.Limited && !a.Open && g.Record().Phase == rollout.Draining {
		next.closesAt = now.Add(closeDelay)
	}
	s.admission.Store(next)
	if was == nil && !a.Open || was != nil && (was.Open != a.Open || was.Limited != a.Limited) {
		r.logChange(s, a, g.Record())
	}
}

// decideAdmission returns what a server takes now, and has the table asked where that can't be told.
func (r *rollouts) decideAdmission(now time.Time, s *versionedServer, g *rollout.AdmissionController) rollout.Admission {
	if r.n.o.Orders == nil {
		return rollout.Admission{Open: true}
	}
	met := r.observeVersions(s)
	a := g.Admit(now, s.version, met)
	if at, due := g.NextTableRead(s.version, met); due && !a.Open && !now.Before(at) {
		r.fetchOrder(s.service)
	}
	return a
}

func (r *rollouts) logChange(s *versionedServer, a rollout.Admission, record rollout.Record) {
	r.log.Info().Str("service", s.service).Str("version", s.version).Bool("open", a.Open).Bool("limited", a.Limited).
		Str("target", record.Target).Str("phase", string(record.Phase)).Msg("rollout: what a backend server takes has changed")
}

func (r *rollouts) guard(service string) *rollout.AdmissionController {
	g := r.guards[service]
	if g == nil {
		g = new(rollout.AdmissionController)
		r.guards[service] = g
	}
	return g
}

// observeVersions looks for servers of other versions. One that has taken calls before they came is of
// the version that they are to replace.
func (r *rollouts) observeVersions(s *versionedServer) rollout.OtherVersions {
	m := rollout.OtherVersions{FirstSeen: s.firstSeen}
	if s.settled || s.version == "" {
		return m
	}
	v := r.n.views.Load()
	for id, record := range v.Records {
		if id == v.Self {
			continue
		}
		for _, b := range record.Backends {
			if b.Service == s.service && b.Version != "" && b.Version != s.version {
				m.Present = true
				m.Ready = m.Ready || b.State == membership.BackendReady
			}
		}
	}
	return m
}

// run looks after grants that lapse and servers that wait to be let in, until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	ticker := time.NewTicker(lapseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-ticker.C:
			if !r.needsUpdate(time.Now()) {
				continue
			}
		}
		r.n.control.backends()
	}
}

// needsUpdate reports whether what a server takes may have changed by itself.
func (r *rollouts) needsUpdate(now time.Time) bool {
	starting := now.Sub(r.started) < settleTime
	for _, s := range *r.servers.Load() {
		a := s.admission.Load()
		lapsed := !a.Until.IsZero() && !now.Before(a.Until)
		if s.version != "" && (starting || lapsed || !a.Open) {
			return true
		}
	}
	return false
}

// requestUpdate has run look now.
func (r *rollouts) requestUpdate() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// fetchOrder asks the table for the order and the record of a service, beside the caller, who
// holds r.mu.
func (r *rollouts) fetchOrder(service string) {
	if r.fetching[service] {
		return
	}
	r.fetching[service] = true
	go func() {
		ctx, cancel := context.WithTimeout(r.n.parts.ctx, rolloutReadTimeout)
		defer cancel()
		order, record, err := r.loadOrder(ctx, service)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.fetching, service)
		if err != nil {
			r.log.Warn().Str("service", service).Err(err).Msg("rollout: the order is not known")
			return
		}
		r.guard(service).ApplyTable(time.Now(), order, record)
		r.requestUpdate()
	}()
}

// loadOrder returns the newest order for a service and its record; both may be empty.
func (r *rollouts) loadOrder(ctx context.Context, service string) (rollout.Order, rollout.Record, error) {
	order, found, err := r.n.o.Orders.Order(ctx, service)
	if err != nil || !found {
		return rollout.Order{}, rollout.Record{}, err
	}
	record, _, err := loadRecord(ctx, r.n.control.table, service)
	return order, record, err
}

// loadRecord returns the record of a service with its row's revision; it is empty if there
// is none.
func loadRecord(ctx context.Context, table platform.Table, service string) (rollout.Record, uint64, error) {
	row, err := table.Get(ctx, rollout.RecordKey(service))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return rollout.Record{}, platform.Absent, nil
	case err != nil:
		return rollout.Record{}, 0, err
	}
	record, err := rollout.DecodeRecord(row.Value)
	return record, row.Revision, err
}

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
	// closeDelay is how long a server of a replaced version still takes calls after it is
	// published as not ready, until entry nodes have received that state.
	closeDelay = 700 * time.Millisecond
	// admissionLag is longer than a call takes from its admission until it counts as in flight.
	admissionLag = 100 * time.Millisecond
	// settleTime is how long after its start a node may still discover servers of another
	// version that it could not have seen earlier.
	settleTime = 3 * time.Second
	// lapseCheckInterval is the time between two checks for expired grants.
	lapseCheckInterval = 100 * time.Millisecond
	// fetchInterval is the minimum time between two reads of the order of a service, so that a table
	// that refuses them is not asked more often.
	fetchInterval = 500 * time.Millisecond
	// rolloutReadTimeout bounds a read or write of orders and records.
	rolloutReadTimeout = 2 * time.Second
)

var (
	errVersionHeld  = &call.Refusal{Reason: call.ReasonNotReady, Detail: "its version takes no calls in the rollout"}
	errVersionQuota = &call.Refusal{Reason: call.ReasonBusy, Detail: "its version has had its calls in the rollout"}
)

// rollouts decides which calls the backend servers of this VM admit while their service's calls
// move to another version. It adapts rollout.AdmissionController to proxy.Rollouts.
type rollouts struct {
	n       *Node
	log     zerolog.Logger
	started time.Time

	mu          sync.Mutex // guards controllers, fetching, and server fields that calls do not use
	controllers map[string]*rollout.AdmissionController
	fetching    map[string]bool      // services whose order is being fetched
	fetchedAt   map[string]time.Time // when the last fetch began, by service

	servers atomic.Pointer[map[string]*versionedServer] // by instance
	wake    chan struct{}
}

// versionedServer is a backend server of one version with its current admission.
type versionedServer struct {
	service, version string
	versionUnknown   bool
	warmAt           time.Time
	// tally counts calls for the rollout of an order; nil before the first instruction.
	tally     atomic.Pointer[rollout.Tally]
	order     uint64
	admission atomic.Pointer[serverAdmission]

	firstSeen time.Time // when it first announced itself
	settled   bool      // it admits calls until an order or record closes it
}

// serverAdmission is the rollout.Admission in force at a server.
type serverAdmission struct {
	rollout.Admission
	remaining atomic.Int64 // calls left, where the admission is limited
	// closesAt is when a server that is no longer open stops admitting calls.
	closesAt time.Time
}

// accepts reports whether a call may be admitted at the given time.
func (a *serverAdmission) accepts(now time.Time) bool {
	if !a.Open {
		return now.Before(a.closesAt)
	}
	return a.Until.IsZero() || now.Before(a.Until)
}

func newRollouts(n *Node) *rollouts {
	r := &rollouts{
		n: n, log: telemetry.Part(n.log, "rollout"), started: time.Now(),
		controllers: make(map[string]*rollout.AdmissionController), fetching: make(map[string]bool),
		fetchedAt: make(map[string]time.Time),
		wake:      make(chan struct{}, 1),
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
	// Calls that waited for a slot when a baseline was closed still run: the baseline is not
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

// setBackends updates the backend servers announced at this node, and returns them in the state
// to publish to other nodes.
func (r *rollouts) setBackends(now time.Time, list []announce.Backend) []announce.Backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := *r.servers.Load()
	next := make(map[string]*versionedServer, len(list))
	out := slices.Clone(list)
	for i, b := range list {
		s := old[b.Instance]
		if s == nil || s.version != b.Version || s.versionUnknown != b.VersionUnknown || s.service != b.Service {
			s = s.successor(now, b)
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

// successor returns the server that takes the place of s, or the same one once its version is known. s
// may be nil.
func (s *versionedServer) successor(now time.Time, b announce.Backend) *versionedServer {
	next := &versionedServer{
		service: b.Service, version: b.Version, versionUnknown: b.VersionUnknown,
		firstSeen: now, warmAt: b.LoadAt.Add(b.WarmupRemaining),
	}
	if s != nil && s.versionUnknown && s.service == b.Service {
		next.firstSeen, next.order = s.firstSeen, s.order
		next.tally.Store(s.tally.Load())
	}
	return next
}

// updateAdmission updates the admission of a server. The caller holds r.mu.
func (r *rollouts) updateAdmission(now time.Time, s *versionedServer) {
	previous := s.admission.Load()
	controller := r.controllerFor(s.service)
	a := r.decideAdmission(now, s, controller)
	s.settled = s.settled || a.Open && now.Sub(r.started) >= settleTime
	if previous != nil && previous.Admission == a {
		return
	}
	next := &serverAdmission{Admission: a}
	next.remaining.Store(int64(a.Limit))
	if previous != nil && previous.Open && !previous.Limited && !a.Open && controller.Record().Phase == rollout.Draining {
		next.closesAt = now.Add(closeDelay)
	}
	s.admission.Store(next)
	if previous == nil || previous.Open != a.Open || previous.Limited != a.Limited {
		r.logChange(s, a, controller)
	}
}

// decideAdmission returns the admission of a server, and fetches the order from the table where
// the admission controller needs it to decide.
func (r *rollouts) decideAdmission(now time.Time, s *versionedServer, controller *rollout.AdmissionController) rollout.Admission {
	if r.n.o.Orders == nil {
		return rollout.Admission{Open: true}
	}
	others := r.observeVersions(s)
	a := controller.Admit(now, s.version, others)
	if readAt, due := controller.NextTableRead(s.version, others); due && !a.Open && !now.Before(readAt) {
		r.fetchOrder(s.service)
	}
	return a
}

func (r *rollouts) logChange(s *versionedServer, a rollout.Admission, controller *rollout.AdmissionController) {
	record := controller.Record()
	r.log.Info().Str("service", s.service).Str("version", s.version).Bool("open", a.Open).Bool("limited", a.Limited).
		Uint64("order", record.Order).Str("target", record.Target).Str("phase", string(record.Phase)).
		Bool("order_known", controller.OrderKnown()).Dur("since_start", time.Since(r.started)).
		Msg("rollout: what a backend server takes has changed")
}

func (r *rollouts) controllerFor(service string) *rollout.AdmissionController {
	controller := r.controllers[service]
	if controller == nil {
		controller = new(rollout.AdmissionController)
		r.controllers[service] = controller
	}
	return controller
}

// observeVersions looks for servers of other versions in the view. A server that took calls
// before they appeared is of the version that they replace.
func (r *rollouts) observeVersions(s *versionedServer) rollout.OtherVersions {
	v := r.n.views.Load()
	others := rollout.OtherVersions{
		FirstSeen: s.firstSeen, Unannounced: s.versionUnknown,
		// A node that found no other may be cut off from the servers of another version.
		Complete: s.settled || len(v.Records) > 1 && r.n.control.members.Joined(),
	}
	if s.settled || s.version == "" {
		return others
	}
	for id, record := range v.Records {
		if id == v.Self {
			continue
		}
		for _, b := range record.Backends {
			if b.Service == s.service && b.Version != "" && b.Version != s.version {
				others.Present = true
				others.Ready = others.Ready || b.State == membership.BackendReady
			}
		}
	}
	return others
}

// run updates the backend servers when grants expire or closed servers may open, until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	if service := r.n.set.VM.Service; service != "" && r.n.o.Orders != nil {
		r.mu.Lock()
		r.fetchOrder(service) // a server that is probed is not admitted before
		r.mu.Unlock()
	}
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
		r.n.control.publishBackends()
	}
}

// needsUpdate reports whether the admission of a server may have changed with time.
func (r *rollouts) needsUpdate(now time.Time) bool {
	starting := now.Sub(r.started) < settleTime
	for _, s := range *r.servers.Load() {
		a := s.admission.Load()
		lapsed := !a.Until.IsZero() && !now.Before(a.Until)
		if (s.version != "" || s.versionUnknown) && (starting || lapsed || !a.Open) {
			return true
		}
	}
	return false
}

// requestUpdate makes run update the backend servers now.
func (r *rollouts) requestUpdate() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// fetchOrder reads the order and the record of a service in a goroutine. The caller holds r.mu.
func (r *rollouts) fetchOrder(service string) {
	begin := time.Now()
	if r.fetching[service] || begin.Sub(r.fetchedAt[service]) < fetchInterval {
		return
	}
	r.fetching[service], r.fetchedAt[service] = true, begin
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
		r.controllerFor(service).ApplyTable(begin, order, record)
		r.requestUpdate()
	}()
}

// loadOrder reads the newest order for a service and its record; both may be empty.
func (r *rollouts) loadOrder(ctx context.Context, service string) (rollout.Order, rollout.Record, error) {
	order, found, err := r.n.o.Orders.Order(ctx, service)
	if err != nil || !found {
		return rollout.Order{}, rollout.Record{}, err
	}
	record, _, err := loadRecord(ctx, r.n.control.table, service)
	return order, record, err
}

// loadRecord reads the rollout record of a service and the revision of its row. Without a row
// the record is empty and the revision is platform.Absent.
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

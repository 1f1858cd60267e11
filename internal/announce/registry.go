package announce

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// Defaults of Limits.
const (
	DefaultTTL         = 3 * time.Second
	DefaultMaxBackends = 64
)

// renewalsPerTTL is the number of renewals requested per TTL, so that two lost renewals in a row
// do not end a lease.
const renewalsPerTTL = 3

// Limits bound what a Registry accepts.
type Limits struct {
	TTL         time.Duration // duration of a lease without renewal
	MaxBackends int           // backend servers at the same time
	// AllowNonLoopback accepts backend servers at other addresses than loopback, where the
	// platform assigns the addresses.
	AllowNonLoopback bool
	// NoInstanceReuse means that an instance which left or was replaced returns only with a
	// later start or under a new name. A withdrawal is then remembered even if no announcement
	// of the instance was received before.
	NoInstanceReuse bool
	// RestoreDepartures means that ready announcements put no backend server into service before the
	// departures recorded by earlier processes are restored, or the backend server is confirmed.
	RestoreDepartures bool
}

// RenewEvery returns the interval at which a backend server should renew its lease.
func (l Limits) RenewEvery() time.Duration { return l.TTL / renewalsPerTTL }

// Announcement is what a backend server reports about itself.
type Announcement struct {
	Instance string
	Service  string
	Address  netip.AddrPort
	Version  string // of its software; empty if not reported
	// VersionUnknown means that the backend server was asked for its identity, but not for its version.
	VersionUnknown bool
	Slots          int
	State          membership.BackendState
	Load           int // calls running or queued
	// Started is the start of this incarnation of the instance, in Unix milliseconds;
	// zero where an instance gets a new name with each start.
	Started int64
	// Sequence increases with each announcement of an incarnation; zero where announcements
	// arrive in order anyway.
	Sequence uint64
	// WarmupRemaining is how much longer the backend server is slow after its start.
	WarmupRemaining time.Duration
}

// Backend is a backend server that holds a lease.
type Backend struct {
	Announcement
	// Addr is Address as a string, formatted once because every call needs it.
	Addr   string
	LoadAt time.Time // when Load was reported
	// Canary limits the calls to this backend server while its version is tried out.
	Canary bool
	// ReadySince is when it became ready; zero unless State is BackendReady.
	ReadySince time.Time
	Expires    time.Time
	// Leaving means that it said, other than by an announcement, that it leaves.
	Leaving bool
	// Held means that it announced itself as ready and is not in service, since it may have left.
	Held bool
}

// ChangeKind is the kind of a change to a backend server.
type ChangeKind uint8

// Kinds of change. All except Renewed are published to the mesh.
const (
	Renewed ChangeKind = iota + 1
	Added
	Changed
	Replaced // another backend server took over the instance or the address
	Withdrawn
	Expired
)

var changeNames = map[ChangeKind]string{
	Renewed:   "renewed",
	Added:     "added",
	Changed:   "changed",
	Replaced:  "replaced",
	Withdrawn: "withdrawn",
	Expired:   "expired",
}

// String returns the name of the kind.
func (k ChangeKind) String() string {
	if name, ok := changeNames[k]; ok {
		return name
	}
	return fmt.Sprintf("ChangeKind(%d)", uint8(k))
}

// Change is one change of the registry.
type Change struct {
	Kind    ChangeKind
	Backend Backend // current state, or the last one if it was removed
	// PreviousState is the state before the change; zero for a backend server that was not
	// known.
	PreviousState membership.BackendState
}

// ChangesRecord reports whether the change has to be published in the node's membership record.
func (c Change) ChangesRecord() bool { return c.Kind != Renewed }

// RecordChanges returns the changes that have to be published in the node's membership record.
func RecordChanges(all []Change) []Change {
	var out []Change
	for _, c := range all {
		if c.ChangesRecord() {
			out = append(out, c)
		}
	}
	return out
}

// Registry holds the backend servers of one VM. It is safe for concurrent use.
type Registry struct {
	limits Limits
	list   atomic.Pointer[[]Backend] // ordered by instance; immutable once stored

	mu        sync.Mutex // serialises writers
	lastSweep time.Time
	departed  departedInstances
	// leaving holds the incarnations that said, other than by an announcement, that they leave.
	leaving  departedInstances
	replaced replacedInstances
	// restored is set once the departures of earlier processes are known, confirmed is the instance
	// that is in service whatever they are, and heldSince when the hold on an instance began.
	restored  bool
	confirmed string
	denied    string // the instance that has said, when asked, that it is not in service
	heldSince time.Time

	refused atomic.Uint64
}

// NewRegistry returns an empty registry.
func NewRegistry(l Limits) *Registry {
	r := &Registry{limits: l, departed: departedInstances{keepAll: l.NoInstanceReuse}, leaving: departedInstances{keepAll: true}}
	r.list.Store(&[]Backend{})
	return r
}

// Limits returns the limits of the registry.
func (r *Registry) Limits() Limits { return r.limits }

// Load returns the backend servers ordered by instance. Callers must not modify the list.
func (r *Registry) Load() []Backend { return *r.list.Load() }

// CountRefused counts an announcement that could not be decoded or that referred to something
// unknown.
func (r *Registry) CountRefused() { r.refused.Add(1) }

// Refused returns the number of announcements counted by CountRefused.
func (r *Registry) Refused() uint64 { return r.refused.Load() }

// Put adds a backend server or renews its lease. It returns the changes, including any backend
// server that the new one replaced. The error is a FieldError, ErrStale or ErrTooMany.
func (r *Registry) Put(now time.Time, a Announcement) ([]Change, error) {
	if err := validate(a, r.limits); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale(a) {
		return nil, ErrStale
	}
	leaving := r.isLeaving(a)
	if leaving {
		a.State = membership.BackendDraining
	}
	if !r.mayReturn(a) {
		return nil, ErrStale
	}
	held := r.hold(now, a)
	if held {
		a.State = membership.BackendStarting
	}
	list, changes := r.evictAtAddress(a.Address, a.Instance)
	b := Backend{Announcement: a, Addr: a.Address.String(), LoadAt: now, Expires: now.Add(r.limits.TTL), Leaving: leaving, Held: held}
	at, known := find(list, a.Instance)
	if !known {
		if len(list) >= r.limits.MaxBackends {
			return nil, ErrTooMany
		}
		b.ReadySince = readySince(now, nil, a)
		r.publish(slices.Insert(list, at, b))
		return append(changes, Change{Kind: Added, Backend: b}), nil
	}
	kind, previous := classifyChange(list[at], a), list[at].State
	old := &list[at]
	if kind == Replaced {
		old = nil
	}
	b.ReadySince = readySince(now, old, a)
	list[at] = b
	r.publish(list)
	return append(changes, Change{Kind: kind, Backend: b, PreviousState: previous}), nil
}

// evictAtAddress returns a copy of the list without any other instance at the address.
//
// It guards against a backend server that crashes and returns under another instance name before
// its old lease expires. Both entries would lead to the same process, and its slots would count
// twice. Only one process can listen on an address, so the newer announcement is the valid one,
// as far as is known (see replacedInstances).
func (r *Registry) evictAtAddress(address netip.AddrPort, instance string) ([]Backend, []Change) {
	list := make([]Backend, 0, len(r.Load())+1)
	var gone []Change
	for _, b := range r.Load() {
		if b.Address == address && b.Instance != instance {
			if b.Started != 0 || b.Sequence == 0 {
				r.departed.add(b.Announcement)
			} else {
				r.replaced.add(b.Announcement)
			}
			gone = append(gone, Change{Kind: Replaced, Backend: b, PreviousState: b.State})
			continue
		}
		list = append(list, b)
	}
	return list, gone
}

// classifyChange returns how an announcement differs from the previous one. Another start,
// address, service or version under the same instance is another backend server, to which the
// state of the old one, such as its warm-up, does not apply.
func classifyChange(old Backend, a Announcement) ChangeKind {
	restarted := old.Started != 0 && old.Started != a.Started
	switch {
	case restarted || old.Address != a.Address || old.Service != a.Service || old.Version != a.Version:
		return Replaced
	case old.State != a.State || old.Slots != a.Slots:
		return Changed
	}
	return Renewed
}

func readySince(now time.Time, old *Backend, a Announcement) time.Time {
	if a.State != membership.BackendReady {
		return time.Time{}
	}
	if old != nil && old.State == membership.BackendReady {
		return old.ReadySince
	}
	return now
}

// Withdrawal identifies the backend server that leaves.
type Withdrawal struct {
	Instance string
	// Address, if valid, must match that of the backend server.
	Address netip.AddrPort
	// Started is the start of the leaving incarnation, in Unix milliseconds; zero if
	// not reported.
	Started int64
}

// Withdraw removes a backend server and returns the change, if any.
//
// Address and Started guard against a late withdrawal: a backend server restarts under the same
// instance, and the old process withdraws last. Without them the new one would disappear until
// its next renewal.
func (r *Registry) Withdraw(w Withdrawal) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Clone(r.Load())
	at, known := find(list, w.Instance)
	if !known || w.Started != 0 && w.Started < list[at].Started {
		r.departed.add(Announcement{Instance: w.Instance, Started: w.Started})
		return nil
	}
	r.departed.add(list[at].Announcement)
	if w.Started > list[at].Started {
		// The leaving incarnation started after the known one, and none of its
		// announcements arrived.
		r.departed.add(Announcement{Instance: w.Instance, Started: w.Started})
	}
	if w.Address.IsValid() && list[at].Address != w.Address {
		return nil
	}
	gone := list[at]
	r.forgetLeaving(gone.Announcement)
	r.publish(slices.Delete(list, at, at+1))
	return []Change{{Kind: Withdrawn, Backend: gone, PreviousState: gone.State}}
}

// Expire removes the backend servers whose lease has expired and returns the changes. Call it at
// least twice per TTL.
//
// It guards against a pause of the node itself. No renewal can arrive while the node is paused,
// so afterwards every lease would appear expired although every backend server is healthy. A
// long gap between two calls indicates a pause, and all leases then start anew.
func (r *Registry) Expire(now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	paused := !r.lastSweep.IsZero() && now.Sub(r.lastSweep) > r.limits.TTL/2
	r.lastSweep = now
	var kept []Backend
	var gone []Change
	for _, b := range r.Load() {
		if paused {
			b.Expires = now.Add(r.limits.TTL)
		}
		if b.Expires.After(now) {
			kept = append(kept, b)
		} else {
			r.rememberDraining(b)
			r.forgetLeaving(b.Announcement)
			gone = append(gone, Change{Kind: Expired, Backend: b, PreviousState: b.State})
		}
	}
	if paused || len(gone) > 0 {
		r.publish(kept)
	}
	return gone
}

// rememberDraining remembers a backend server whose lease expired while it drained.
//
// It guards against late heartbeats. The sequence is dropped with the lease, so a heartbeat sent
// before the drain and delayed by a partition would put the backend server back into service.
func (r *Registry) rememberDraining(b Backend) {
	if b.State == membership.BackendDraining {
		r.departed.add(b.Announcement)
	}
}

// stale reports whether an announcement is older than what is known of its instance, or of its
// address, where only one process can listen.
//
// It guards against announcements that a partition delayed. One from an incarnation that has
// left, or whose address was taken over, would bring it back, and calls would be sent to a
// backend server that is gone; one sent before "draining" would put the instance back into
// service.
func (r *Registry) stale(a Announcement) bool {
	if r.departed.has(a) {
		return true
	}
	for _, b := range r.Load() {
		if b.Instance != a.Instance && b.Address != a.Address {
			continue
		}
		if a.Started != b.Started {
			return a.Started < b.Started
		}
		if b.Instance == a.Instance && b.Sequence > 0 && a.Sequence <= b.Sequence {
			return true
		}
	}
	return false
}

func (r *Registry) publish(list []Backend) { r.list.Store(&list) }

func find(list []Backend, instance string) (int, bool) {
	return slices.BinarySearchFunc(list, instance, func(b Backend, name string) int {
		return strings.Compare(b.Instance, name)
	})
}

// MembershipBackends converts the backend servers for the node's membership record.
func MembershipBackends(list []Backend) []membership.Backend {
	out := make([]membership.Backend, len(list))
	for i, b := range list {
		out[i] = membership.Backend{
			Service:  b.Service,
			Instance: b.Instance,
			Slots:    b.Slots,
			State:    b.State,
			Version:  b.Version,
			Canary:   b.Canary,
		}
		if !b.ReadySince.IsZero() {
			out[i].ReadySince = b.ReadySince.UnixMilli()
		}
	}
	return out
}

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

// renewalsPerTTL is how often a backend server is asked to renew within one
// TTL, so that two lost renewals in a row don't end its lease.
const renewalsPerTTL = 3

// Limits bound what a Registry takes in.
type Limits struct {
	TTL         time.Duration // how long a silent backend server is kept
	MaxBackends int           // backend servers at once
	// AllowNonLoopback lets backend servers be reached at other addresses than
	// loopback, where the platform says which one is theirs.
	AllowNonLoopback bool
	// NoInstanceReuse says that an instance which left or was replaced comes back only
	// with a later start, and else under a new name. Its word to leave then binds
	// also where it is the first that was heard of it.
	NoInstanceReuse bool
}

// RenewEvery returns how often a backend server should renew.
func (l Limits) RenewEvery() time.Duration { return l.TTL / renewalsPerTTL }

// Announcement is what a backend server says about itself.
type Announcement struct {
	Instance string
	Service  string
	Address  netip.AddrPort
	Version  string // of its software; empty if it tells none
	Slots    int
	State    membership.BackendState
	Load     int // calls that it runs or queues
	// Started is when this incarnation of the instance began, in Unix milliseconds;
	// zero where an instance has a new name after each start.
	Started int64
	// Sequence grows with each announcement of an incarnation; zero where the
	// announcements come in order anyway.
	Sequence uint64
	// WarmupRemaining is how much longer the backend server is slow after its start.
	WarmupRemaining time.Duration
}

// Backend is one backend server under a lease.
type Backend struct {
	Announcement
	// Addr is Address as a string. Every call needs it.
	Addr   string
	LoadAt time.Time // when Load was told
	// Canary says that it is to get a few calls only, to try its version.
	Canary bool
	// ReadySince is when it became ready; zero unless State is BackendReady.
	ReadySince time.Time
	Expires    time.Time
}

// ChangeKind says what happened to a backend server.
type ChangeKind uint8

// Kinds of change. Renewed is the only one that the mesh need not hear of.
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

// String returns the kind in a word.
func (k ChangeKind) String() string {
	if name, ok := changeNames[k]; ok {
		return name
	}
	return fmt.Sprintf("ChangeKind(%d)", uint8(k))
}

// Change is one change of the registry.
type Change struct {
	Kind    ChangeKind
	Backend Backend // as it is now, or as it last was when it is gone
	// PreviousState is the state before, of a backend server that was known.
	PreviousState membership.BackendState
}

// ChangesRecord reports whether the node's record in the mesh has to be raised.
func (c Change) ChangesRecord() bool { return c.Kind != Renewed }

// RecordChanges returns those changes that the mesh has to hear of.
func RecordChanges(all []Change) []Change {
	var out []Change
	for _, c := range all {
		if c.ChangesRecord() {
			out = append(out, c)
		}
	}
	return out
}

// Registry holds the backend servers of one VM.
type Registry struct {
	limits Limits
	list   atomic.Pointer[[]Backend] // by instance; never changed once stored

	mu        sync.Mutex // serialises writers
	lastSweep time.Time
	gone      goneInstances

	refused atomic.Uint64
}

// NewRegistry returns an empty registry.
func NewRegistry(l Limits) *Registry {
	r := &Registry{limits: l, gone: goneInstances{keepAll: l.NoInstanceReuse}}
	r.list.Store(&[]Backend{})
	return r
}

// Limits returns what the registry was made with.
func (r *Registry) Limits() Limits { return r.limits }

// Load returns the backend servers ordered by instance. Callers must not
// change the list.
func (r *Registry) Load() []Backend { return *r.list.Load() }

// CountRefused counts an announcement that could not be read or named something
// that is not there.
func (r *Registry) CountRefused() { r.refused.Add(1) }

// Refused returns how many announcements were refused as such.
func (r *Registry) Refused() uint64 { return r.refused.Load() }

// Put announces a backend server or renews its lease. It returns what changed,
// which includes any backend server that the new one took the place of.
func (r *Registry) Put(now time.Time, a Announcement) ([]Change, error) {
	if err := check(a, r.limits); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stale(a) {
		return nil, ErrStale
	}
	list, changes := r.without(a.Address, a.Instance)
	b := Backend{Announcement: a, Addr: a.Address.String(), LoadAt: now, Expires: now.Add(r.limits.TTL)}
	at, known := find(list, a.Instance)
	if !known {
		if len(list) >= r.limits.MaxBackends {
			return nil, ErrTooMany
		}
		b.ReadySince = readySince(now, nil, a)
		r.publish(slices.Insert(list, at, b))
		return append(changes, Change{Kind: Added, Backend: b}), nil
	}
	kind, was := compare(list[at], a), list[at].State
	old := &list[at]
	if kind == Replaced {
		old = nil
	}
	b.ReadySince = readySince(now, old, a)
	list[at] = b
	r.publish(list)
	return append(changes, Change{Kind: kind, Backend: b, PreviousState: was}), nil
}

// without returns a copy of the list less any other instance at the address.
//
// It guards against a backend server that crashed and came back under another
// instance name before its old lease ran out. Both entries would lead to the
// same process, and its slots would count twice. Only one process can listen on
// an address, so the newer announcement is the true one.
func (r *Registry) without(address netip.AddrPort, instance string) ([]Backend, []Change) {
	list := make([]Backend, 0, len(r.Load())+1)
	var gone []Change
	for _, b := range r.Load() {
		if b.Address == address && b.Instance != instance {
			r.gone.add(b.Announcement)
			gone = append(gone, Change{Kind: Replaced, Backend: b, PreviousState: b.State})
			continue
		}
		list = append(list, b)
	}
	return list, gone
}

// compare tells how an announcement differs from the one before. Another start,
// address or service under the same instance is another backend server: what
// was known of the old one, such as its being warm, does not hold for it.
func compare(old Backend, a Announcement) ChangeKind {
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

// Withdrawal names the backend server that leaves.
type Withdrawal struct {
	Instance string
	// Address, if valid, must be the one that the backend server has.
	Address netip.AddrPort
	// Started is when the incarnation that leaves began; zero where it is not told.
	Started int64
}

// Withdraw removes a backend server.
//
// Address and Started guard against a late withdrawal: a backend server restarts
// under the same instance, and the old process withdraws last. Without them the new
// one would vanish until its next renewal.
func (r *Registry) Withdraw(w Withdrawal) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Clone(r.Load())
	at, known := find(list, w.Instance)
	if !known || w.Started != 0 && w.Started < list[at].Started {
		r.gone.add(Announcement{Instance: w.Instance, Started: w.Started})
		return nil
	}
	r.gone.add(list[at].Announcement)
	if w.Started > list[at].Started {
		// The one that leaves has begun after the one that is known, and none of
		// its announcements arrived.
		r.gone.add(Announcement{Instance: w.Instance, Started: w.Started})
	}
	if w.Address.IsValid() && list[at].Address != w.Address {
		return nil
	}
	gone := list[at]
	r.publish(slices.Delete(list, at, at+1))
	return []Change{{Kind: Withdrawn, Backend: gone, PreviousState: gone.State}}
}

// Expire removes the backend servers whose lease has run out. Call it at least
// twice within a TTL.
//
// It guards against a pause of the node itself. While the node stands still no
// renewal can arrive, and on its return every lease would seem to have run out
// although every backend server is well. A long gap between two calls shows the
// pause; all leases then start anew.
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
			r.keepDrained(b)
			gone = append(gone, Change{Kind: Expired, Backend: b, PreviousState: b.State})
		}
	}
	if paused || len(gone) > 0 {
		r.publish(kept)
	}
	return gone
}

// keepDrained remembers a backend server that fell silent while it drained.
//
// It guards against its late heartbeats. With its lease its number was forgotten, and
// one that a cut had held up since before the drain would put it back into service.
func (r *Registry) keepDrained(b Backend) {
	if b.State == membership.BackendDraining {
		r.gone.add(b.Announcement)
	}
}

// stale reports whether an announcement is older than what is known of its instance
// or of its address, where only one process can listen.
//
// It guards against announcements that a cut held up. One of an incarnation that
// has left, or whose address another has taken, would bring it back, and calls
// would be sent to a backend server that is no longer there; one that was sent
// before "draining" would put the instance back into service.
func (r *Registry) stale(a Announcement) bool {
	if r.gone.has(a) {
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

// MembershipBackends returns the backend servers as the node's record tells of them.
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

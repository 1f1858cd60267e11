// Package once runs a keyed request at most once over its caller's resends.
//
// The destination node claims a request in the platform's table before the
// request runs, and stores its outcome there after. A row is made on condition
// that there is none, so of several nodes that get the same key one claims it.
// A claim is never taken over: a claimant that died may have run the request,
// so those who send it again are told that the outcome is unknown. A claim is
// given up only by its claimant, and only before the request ran.
//
//	(no row) --claim--> claimed --outcome--> done --Retention--> (no row)
//	             ^-------- given up, not run --'
//
// Claims and outcomes of one node are written in groups, one transaction at a
// time, because the platform does a few hundred writes a second for everything.
package once

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// Defaults of Options.
const (
	DefaultLease        = 60 * time.Second
	DefaultRetention    = 24 * time.Hour
	DefaultClaimTimeout = 2 * time.Second
	DefaultLinger       = 100 * time.Millisecond
	DefaultMaxBody      = 16 << 10
	DefaultMaxLocalKeys = 8192
)

// Options are what a Deduplicator needs.
type Options struct {
	Table  platform.Table
	Holder string // VM ID of this node; shown to operators
	// Now is the clock; time.Now when nil. It must carry a monotonic
	// reading, because the lease is measured by it.
	Now func() time.Time
	// Lease is how long after its claim a request may still be started, and
	// how long after it those who wait for the outcome are told "unknown".
	Lease time.Duration
	// Retention is how long an outcome is remembered.
	Retention time.Duration
	// ClaimTimeout bounds the attempts to claim under the rules refuse and
	// local-guard.
	ClaimTimeout time.Duration
	// Linger is how long an outcome may wait for others to share its
	// transaction. A claim never waits for that.
	Linger time.Duration
	// MaxBody is the largest body that is stored, in bytes.
	MaxBody int
	// MaxLocalKeys bounds the keys that are remembered at this node only.
	MaxLocalKeys int
	// Nonce makes a nonce; 128 random bits when nil.
	Nonce func() string
}

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Nonce == nil {
		o.Nonce = rand.Text
	}
	setDefault(&o.Lease, DefaultLease)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&o.Linger, DefaultLinger)
	setDefault(&o.MaxBody, DefaultMaxBody)
	setDefault(&o.MaxLocalKeys, DefaultMaxLocalKeys)
	return o
}

func setDefault[T time.Duration | int](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Request is one keyed request.
type Request struct {
	// Service is what the key counts in. A class of work would not do: when
	// an operator changes the classes between a sending and its resend, the
	// resend would count as new and run a second time.
	Service string
	Key     string
	// Fingerprint is a hash of all that makes the request: method, path and
	// body. The same key with another fingerprint is refused.
	Fingerprint [32]byte
	// StoreDown says what to do when the claim cannot be recorded.
	StoreDown config.OnStoreDown
	// Deadline bounds the waiting; zero means that only the context does.
	Deadline time.Time
}

// Decision is what to do with a request. Exactly one of Run, Replay and Unknown is
// set.
type Decision struct {
	// Run says that this caller is to run the request, under the claim.
	Run *Claim
	// Replay is the first outcome, to be given again. It is shared and must
	// not be changed.
	Replay *StoredOutcome
	// Unknown says that the request was claimed before and may have run, and
	// that its outcome is not known. It must not be run.
	Unknown bool
}

// Deduplicator claims requests for one node. It is safe for concurrent use.
type Deduplicator struct {
	opts    Options
	batcher *batcher
	recent  recent

	mu      sync.Mutex
	flights map[string]*flight // by row key
	// abandoned are the claims that were given up without a run, whose rows
	// may still stand because the platform did not confirm the removal.
	abandoned  map[abandoned]abandonTimes
	localKeys  int // flights that are kept
	localBytes int // bodies of those among them that had a row
	stats      Stats
}

// Stats counts what a Deduplicator did.
type Stats struct {
	Claims      uint64 // requests that were claimed to run
	Replays     uint64
	Unknowns    uint64
	Joins       uint64 // repeats that waited for a run on this node
	Refused     uint64
	LocalGuards uint64 // requests that ran under a claim of this node only
	Unstored    uint64 // outcomes that could not be stored
	Writes      uint64 // transactions sent to the platform
	LocalKeys   int
}

// New returns a Deduplicator.
func New(opts Options) *Deduplicator {
	opts = opts.withDefaults()
	d := &Deduplicator{
		opts:      opts,
		flights:   make(map[string]*flight),
		abandoned: make(map[abandoned]abandonTimes),
	}
	d.recent = newRecent(opts.MaxLocalKeys)
	d.batcher = newBatcher(opts.Table, opts.Linger)
	return d
}

// Stats returns the counts so far.
func (d *Deduplicator) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Writes = d.batcher.writes.Load()
	s.LocalKeys = d.localKeys
	return s
}

// Begin decides what to do with a request. The error is a *call.Refusal, which
// means that this request was not run, or the context's error, which means the
// same.
func (d *Deduplicator) Begin(ctx context.Context, r Request) (Decision, error) {
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, r.Deadline, errDeadline)
		defer cancel()
	}
	key := rowKey(r.Service, r.Key)
	f, first := d.flightFor(key, r)
	if !first {
		return d.join(ctx, f, r)
	}
	b, err := d.claim(ctx, f, r)
	if err != nil || b.Run == nil {
		// Whatever was found lies in the platform's table; those who
		// joined look there for themselves.
		d.forget(f)
	}
	return d.count(b, err)
}

func (d *Deduplicator) count(b Decision, err error) (Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil:
		d.stats.Refused++
	case b.Run != nil:
		d.stats.Claims++
	case b.Replay != nil:
		d.stats.Replays++
	default:
		d.stats.Unknowns++
	}
	return b, err
}

func refusal(reason call.Reason, detail string) error {
	return &call.Refusal{Reason: reason, Detail: detail}
}

// Package once runs a keyed request at most once, however often its caller resends it.
//
// The destination node claims a request in the platform's table before the request runs, and then
// stores its outcome there. A row is created on condition that none exists, so only one of several
// nodes that receive the same key claims it. A claim is never taken over: a claimant that crashed
// may have run the request, so resends get the answer that the outcome is unknown. Only the
// claimant may abandon a claim, and only before the request runs.
//
//	(no row) --claim--> claimed --outcome--> done --retention--> (no row)
//	             ^---- abandoned, not run ----'
//
// The claims and outcomes of one node are committed in groups, one transaction at a time, because
// the platform handles only a few hundred writes per second in total.
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

// Options configure a Deduplicator.
type Options struct {
	Table  platform.Table
	Holder string // VM ID of this node, for operators
	// Now is the clock; nil means time.Now. Its times must carry a monotonic reading, because the
	// lease is measured with it.
	Now func() time.Time
	// Lease is how long after its claim a request may still be started. After it, requests that
	// wait for the outcome get "unknown".
	Lease time.Duration
	// Retention is how long an outcome is kept.
	Retention time.Duration
	// ClaimTimeout bounds the attempts to claim under the rules refuse and local-guard.
	ClaimTimeout time.Duration
	// Linger is how long an outcome may wait to share a transaction. A claim never waits for
	// this.
	Linger time.Duration
	// MaxBody is the largest response body that is stored, in bytes.
	MaxBody int
	// MaxLocalKeys bounds the keys that only this node keeps in memory.
	MaxLocalKeys int
	// Nonce returns a new nonce; nil means 128 random bits.
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

// Request is one request with an idempotency key.
type Request struct {
	// Service is the namespace of the key. A class would not do: if an operator changed the
	// classes between a sending and its resend, the resend would count as new and run a second
	// time.
	Service string
	Key     string
	// Fingerprint is a hash of method, path and body. The same key with another fingerprint is
	// refused.
	Fingerprint [32]byte
	// StoreDown is the rule to apply when the claim cannot be recorded.
	StoreDown config.OnStoreDown
	// Deadline bounds the wait; zero means that only the context does.
	Deadline time.Time
}

// Decision says how to handle a request. Exactly one of Run, Replay and Unknown is set.
type Decision struct {
	// Run is the claim under which this caller must run the request.
	Run *Claim
	// Replay is the outcome of the first run, to be returned again. It is shared and must not be
	// modified.
	Replay *StoredOutcome
	// Unknown means that the request was claimed before and may have run, and that its outcome is
	// not known. It must not be run.
	Unknown bool
}

// Deduplicator claims requests for one node. It is safe for concurrent use.
type Deduplicator struct {
	opts    Options
	batcher *batcher
	recent  recent

	mu      sync.Mutex
	flights map[string]*flight // by row key
	// abandoned holds the claims that were released without a run. Their rows may still exist
	// because the platform did not confirm the removal.
	abandoned  map[abandoned]abandonTimes
	localKeys  int // retained flights
	localBytes int // body bytes of the retained flights that are not local guards
	stats      Stats
}

// Stats holds the counters of a Deduplicator.
type Stats struct {
	Claims      uint64 // decisions to run a request
	Replays     uint64
	Unknowns    uint64
	Joins       uint64 // resends that waited for a run on this node
	Refused     uint64
	LocalGuards uint64 // claims recorded on this node only
	Unstored    uint64 // outcomes that could not be stored at once
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

// Stats returns the current counters.
func (d *Deduplicator) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stats
	s.Writes = d.batcher.writes.Load()
	s.LocalKeys = d.localKeys
	return s
}

// Begin decides how to handle a request. The error is a *call.Refusal or the context's error;
// both mean that this sending did not run.
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
		// The row in the table has the result; requests that joined read it there.
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

package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/wait"
)

// Bounds on the pauses between attempts at the platform.
const (
	minPause = 20 * time.Millisecond
	maxPause = time.Second
)

// attempt is one request's way to a claim.
type attempt struct {
	k *Deduplicator
	f *flight
	r Request
	// nonce is in every row that this attempt writes.
	nonce string
	// started is when the first write that may stand was sent. The lease
	// counts from it.
	started time.Time
	// ambiguous says that a row with the nonce may stand.
	ambiguous bool
	pause     time.Duration
}

// claim looks for the outcome of an earlier run, or claims the request.
func (k *Deduplicator) claim(ctx context.Context, f *flight, r Request) (Decision, error) {
	a := &attempt{k: k, f: f, r: r, nonce: k.o.Nonce(), pause: minPause}
	bounded, cancel := a.bound(ctx)
	defer cancel()
	for {
		err := a.write(bounded)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return a.run(false), nil
		case errors.As(err, &conflict):
			b, v, err := a.follow(ctx, bounded)
			if v == verdictEnd {
				return b, err
			}
		case !notWritten(err):
			// The row may stand and may yet appear. Writing it again
			// settles it: only one write can meet the condition that
			// there is no row, and the nonce tells whose it was.
			a.ambiguous = true
		}
		if bounded.Err() != nil || (err != nil && a.givesUp(err)) {
			return a.storeDown(ctx)
		}
		a.sleep(bounded)
	}
}

// bound limits the attempts for classes that would rather be refused than wait.
func (a *attempt) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.r.StoreDown == config.OnStoreDownWait {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, a.k.o.ClaimTimeout)
}

// givesUp reports whether err ends the attempts: nothing can stand, and the
// class does not wait.
func (a *attempt) givesUp(err error) bool {
	return notWritten(err) && !a.ambiguous && a.r.StoreDown != config.OnStoreDownWait
}

// notWritten reports whether err says for certain that nothing was written.
// Every other error is taken as a lost answer.
func notWritten(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknown)
}

func (a *attempt) write(ctx context.Context) error {
	if !a.ambiguous {
		a.started = a.k.o.Now()
	}
	value, err := a.row().encode()
	if err != nil {
		return err
	}
	return a.k.batcher.do(ctx, &item{
		condition: &platform.Condition{Key: a.f.key, Revision: platform.Absent},
		write:     platform.Write{Key: a.f.key, Value: value},
		urgent:    true,
	})
}

func (a *attempt) row() row {
	return row{
		Nonce:       a.nonce,
		Holder:      a.k.o.Holder,
		Fingerprint: a.r.Fingerprint,
		ClaimedAt:   a.started.UnixMilli(),
	}
}

func (a *attempt) run(guard bool) Decision {
	return Decision{Run: &Claim{k: a.k, f: a.f, r: a.r, row: a.row(), started: a.started, guard: guard}}
}

// verdict is what a row that stands in the way of a claim means.
type verdict uint8

const (
	verdictWait  verdict = iota + 1 // another claimant runs it, or may
	verdictAgain                    // the row is gone, so the claim may be tried again
	verdictEnd                      // Decision or the error is the answer
)

// follow waits for the outcome of the row that stands in the way. Waiting for
// another's outcome is bounded by the caller's deadline alone.
func (a *attempt) follow(ctx, bounded context.Context) (Decision, verdict, error) {
	first := a.k.o.Now()
	seen := false
	for {
		got, err := a.k.o.Table.Get(ctx, a.f.key)
		if errors.Is(err, platform.ErrNotFound) {
			return Decision{}, verdictAgain, nil
		}
		if err == nil {
			seen = true
			b, v, err := a.judge(ctx, got, first)
			if v != verdictWait {
				return b, v, err
			}
		}
		// That the claim met a row is known, so without a sight of it the
		// request may have run.
		blind := !seen && bounded.Err() != nil
		if ctx.Err() != nil || blind {
			return Decision{Unknown: true}, verdictEnd, nil
		}
		a.sleep(ctx)
	}
}

func (a *attempt) judge(ctx context.Context, got platform.Row, first time.Time) (Decision, verdict, error) {
	stands, err := decodeRow(got.Value)
	if err != nil {
		return Decision{Unknown: true}, verdictEnd, nil
	}
	if stands.Fingerprint != a.r.Fingerprint {
		return Decision{}, verdictEnd, refusal(call.ReasonKeyReused, "")
	}
	if stands.Outcome != nil {
		return Decision{Replay: stands.Outcome}, verdictEnd, nil
	}
	if stands.Nonce == a.nonce {
		return a.run(false), verdictEnd, nil
	}
	if a.k.wasReleased(a.f.key, stands.Nonce) {
		a.k.removeReleased(ctx, got)
		return Decision{}, verdictAgain, nil
	}
	now := a.k.o.Now()
	lapsed := stands.Lost || now.Sub(stands.claimedAt()) > a.k.o.Lease || now.Sub(first) > a.k.o.Lease
	if lapsed {
		// The claimant died, or is paused, or could not store the outcome.
		// It may have run the request, so no one else ever does.
		return Decision{Unknown: true}, verdictEnd, nil
	}
	return Decision{}, verdictWait, nil
}

// storeDown applies the class's rule when the claim could not be recorded.
func (a *attempt) storeDown(ctx context.Context) (Decision, error) {
	if b, found, err := a.lastLook(ctx); found {
		return b, err
	}
	if b, found, err := a.k.recent.find(a.f.key, a.r.Fingerprint); found {
		return b, err
	}
	if a.r.StoreDown == config.OnStoreDownLocalGuard && ctx.Err() == nil && a.k.guard(a.f) {
		// If a row of this attempt stands after all, it keeps other nodes
		// from running the request, which is what it is for.
		return a.run(true), nil
	}
	if a.ambiguous {
		a.k.release(a.f.key, a.nonce)
	}
	if err := ctx.Err(); err != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		return Decision{}, err
	}
	return Decision{}, refusal(call.ReasonStoreDown, detailStoreDown)
}

// detailStoreDown says no more than is known: with the table out of reach, no
// one can tell whether an earlier sending of the same key ran.
const detailStoreDown = "the claim could not be recorded; " +
	"an earlier sending with the same key may have run, so send again with the same key"

// lastLookTimeout bounds lastLook.
const lastLookTimeout = 250 * time.Millisecond

// lastLook reads the row once more before the class's rule is applied. A table
// that takes no writes may still be read, and then a repeat gets the first
// outcome in place of a refusal or, under a guard, of a second run.
func (a *attempt) lastLook(ctx context.Context) (Decision, bool, error) {
	short, cancel := context.WithTimeout(ctx, lastLookTimeout)
	defer cancel()
	got, err := a.k.o.Table.Get(short, a.f.key)
	if err != nil {
		return Decision{}, false, nil
	}
	b, v, err := a.judge(short, got, a.k.o.Now())
	switch v {
	case verdictEnd:
		return b, true, err
	case verdictWait:
		b, v, err = a.follow(ctx, ctx)
		return b, v == verdictEnd, err
	}
	return Decision{}, false, nil
}

// sleep pauses for an even spread over half to one and a half of a pause that
// doubles, so that those who wait for one row don't read it in step.
func (a *attempt) sleep(ctx context.Context) {
	d := time.Duration(float64(a.pause) * (0.5 + rand.Float64()))
	a.pause = min(2*a.pause, maxPause)
	_ = wait.For(ctx, d)
}

type claimState uint8

const (
	claimHeld claimState = iota
	claimStarted
	claimEnded
)

// ErrClaimEnded means that a claim was finished or abandoned before.
var ErrClaimEnded = errors.New("once: the claim has ended")

// Claim is the right to run one request, once.
type Claim struct {
	k       *Deduplicator
	f       *flight
	r       Request
	row     row
	started time.Time
	guard   bool

	mu    sync.Mutex
	state claimState
}

// Started must be called right before the first byte goes to the backend
// server. It refuses if the lease has lapsed: the claimant may have been paused
// since its claim, and those who sent the request again may have been told that
// nothing more would happen. The lease is measured by this process's own
// monotonic clock from before the claim was written, so a pause anywhere in
// between counts. After a refusal, call Abandon.
func (c *Claim) Started(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == claimEnded {
		return refusal(call.ReasonExpired, "the claim has ended")
	}
	if c.k.o.Now().Sub(c.started) >= c.k.o.Lease {
		return refusal(call.ReasonExpired, "the lease of the claim lapsed before the run")
	}
	c.state = claimStarted
	return nil
}

func (c *Claim) end() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == claimEnded {
		return ErrClaimEnded
	}
	c.state = claimEnded
	return nil
}

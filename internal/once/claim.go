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

// Bounds of the backoff between attempts to reach the platform.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// attempt is the state of one request's attempts to claim its key.
type attempt struct {
	d *Deduplicator
	f *flight
	r Request
	// nonce identifies the rows that this attempt writes.
	nonce string
	// leaseStart is when the first write that may have taken effect was sent. The lease runs from
	// then.
	leaseStart time.Time
	// ambiguous means that a row with the nonce may exist.
	ambiguous bool
	backoff   time.Duration
}

// claim returns the outcome of an earlier run, or claims the request.
func (d *Deduplicator) claim(ctx context.Context, f *flight, r Request) (Decision, error) {
	a := &attempt{d: d, f: f, r: r, nonce: d.opts.Nonce(), backoff: minBackoff}
	claimCtx, cancel := a.withClaimTimeout(ctx)
	defer cancel()
	for {
		err := a.write(claimCtx)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return a.grant(false), nil
		case errors.As(err, &conflict):
			b, v, err := a.awaitOutcome(ctx, claimCtx)
			if v == rowDecided {
				return b, err
			}
		case !notWritten(err):
			// The row may exist or still appear. Writing it again resolves this: only one write
			// can meet the condition that no row exists, and the nonce identifies its writer.
			a.ambiguous = true
		}
		if claimCtx.Err() != nil || (err != nil && a.failsFast(err)) {
			return a.applyStoreDownRule(ctx)
		}
		a.sleep(claimCtx)
	}
}

// withClaimTimeout bounds the attempts, except for classes that wait for the platform.
func (a *attempt) withClaimTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.r.StoreDown == config.OnStoreDownWait {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, a.d.opts.ClaimTimeout)
}

// failsFast reports whether err ends the attempts: no row of this attempt can exist, and the
// class does not wait for the platform.
func (a *attempt) failsFast(err error) bool {
	return notWritten(err) && !a.ambiguous && a.r.StoreDown != config.OnStoreDownWait
}

// notWritten reports whether err guarantees that nothing was written. Any other error is treated
// as a lost response.
func notWritten(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknown)
}

func (a *attempt) write(ctx context.Context) error {
	if !a.ambiguous {
		a.leaseStart = a.d.opts.Now()
	}
	value, err := a.row().encode()
	if err != nil {
		return err
	}
	return a.d.batcher.do(ctx, &item{
		condition: &platform.Condition{Key: a.f.key, Revision: platform.Absent},
		write:     platform.Write{Key: a.f.key, Value: value},
		urgent:    true,
	})
}

func (a *attempt) row() row {
	return row{
		Nonce:       a.nonce,
		Holder:      a.d.opts.Holder,
		Fingerprint: a.r.Fingerprint,
		ClaimedAt:   a.leaseStart.UnixMilli(),
	}
}

func (a *attempt) grant(localGuard bool) Decision {
	return Decision{Run: &Claim{d: a.d, f: a.f, r: a.r, row: a.row(), leaseStart: a.leaseStart, localGuard: localGuard}}
}

// rowStatus classifies the existing row of a key.
type rowStatus uint8

const (
	rowPending rowStatus = iota + 1 // another claimant runs the request, or may do so
	rowGone                         // the row does not exist, so the claim may be retried
	rowDecided                      // the Decision or error is final
)

// awaitOutcome waits for the outcome of the existing row. Only the caller's deadline bounds the
// wait for another claimant's outcome.
func (a *attempt) awaitOutcome(ctx, claimCtx context.Context) (Decision, rowStatus, error) {
	waitStart := a.d.opts.Now()
	rowRead := false
	for {
		got, err := a.d.opts.Table.Get(ctx, a.f.key)
		if errors.Is(err, platform.ErrNotFound) {
			return Decision{}, rowGone, nil
		}
		if err == nil {
			rowRead = true
			b, v, err := a.checkRow(ctx, got, waitStart)
			if v != rowPending {
				return b, v, err
			}
		}
		// The claim conflicted with a row, so while that row has not been read the request may
		// have run.
		neverRead := !rowRead && claimCtx.Err() != nil
		if ctx.Err() != nil || neverRead {
			return Decision{Unknown: true}, rowDecided, nil
		}
		a.sleep(ctx)
	}
}

func (a *attempt) checkRow(ctx context.Context, got platform.Row, waitStart time.Time) (Decision, rowStatus, error) {
	existing, err := decodeRow(got.Value)
	if err != nil {
		return Decision{Unknown: true}, rowDecided, nil
	}
	if existing.Fingerprint != a.r.Fingerprint {
		return Decision{}, rowDecided, refusal(call.ReasonKeyReused, "")
	}
	if existing.Outcome != nil {
		return Decision{Replay: existing.Outcome}, rowDecided, nil
	}
	if existing.Nonce == a.nonce {
		return a.grant(false), rowDecided, nil
	}
	if a.d.wasAbandoned(a.f.key, existing.Nonce) {
		a.d.removeRow(ctx, got)
		return Decision{}, rowGone, nil
	}
	now := a.d.opts.Now()
	leaseExpired := existing.Lost || now.Sub(existing.claimedAt()) > a.d.opts.Lease || now.Sub(waitStart) > a.d.opts.Lease
	if leaseExpired {
		// The claimant crashed, is paused or could not store the outcome. It may have run the
		// request, so no claimant runs it again.
		return Decision{Unknown: true}, rowDecided, nil
	}
	return Decision{}, rowPending, nil
}

// applyStoreDownRule applies the class's on-store-down rule when the claim could not be recorded.
func (a *attempt) applyStoreDownRule(ctx context.Context) (Decision, error) {
	if b, found, err := a.finalRead(ctx); found {
		return b, err
	}
	if b, found, err := a.d.recent.find(a.f.key, a.r.Fingerprint); found {
		return b, err
	}
	if a.r.StoreDown == config.OnStoreDownLocalGuard && ctx.Err() == nil && a.d.startLocalGuard(a.f) {
		// If a row of this attempt exists after all, it rightly keeps other nodes from running
		// the request.
		return a.grant(true), nil
	}
	if a.ambiguous {
		a.d.abandon(a.f.key, a.nonce)
	}
	if err := ctx.Err(); err != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		return Decision{}, err
	}
	return Decision{}, refusal(call.ReasonStoreDown, detailStoreDown)
}

// detailStoreDown makes no claim about earlier sendings: without access to the table it is
// unknown whether one of them ran.
const detailStoreDown = "the claim could not be recorded; " +
	"an earlier sending with the same key may have run, so send again with the same key"

const finalReadTimeout = 250 * time.Millisecond

// finalRead reads the row once more before the class's rule is applied. A table that rejects
// writes may still be readable; a resend then gets the first outcome instead of a refusal or,
// under a local guard, a second run.
func (a *attempt) finalRead(ctx context.Context) (Decision, bool, error) {
	readCtx, cancel := context.WithTimeout(ctx, finalReadTimeout)
	defer cancel()
	got, err := a.d.opts.Table.Get(readCtx, a.f.key)
	if err != nil {
		return Decision{}, false, nil
	}
	b, v, err := a.checkRow(readCtx, got, a.d.opts.Now())
	switch v {
	case rowDecided:
		return b, true, err
	case rowPending:
		b, v, err = a.awaitOutcome(ctx, ctx)
		return b, v == rowDecided, err
	}
	return Decision{}, false, nil
}

// sleep waits for a jittered interval, uniform between 0.5 and 1.5 times an exponential backoff,
// so that requests waiting for the same row do not read it in step.
func (a *attempt) sleep(ctx context.Context) {
	d := time.Duration(float64(a.backoff) * (0.5 + rand.Float64()))
	a.backoff = min(2*a.backoff, maxBackoff)
	_ = wait.For(ctx, d)
}

type claimState uint8

const (
	claimHeld claimState = iota
	claimStarted
	claimEnded
)

// ErrClaimEnded is returned for a claim that was already finished, marked lost or abandoned.
var ErrClaimEnded = errors.New("once: the claim has ended")

// Claim is the exclusive right to run one request.
type Claim struct {
	d          *Deduplicator
	f          *flight
	r          Request
	row        row
	leaseStart time.Time
	localGuard bool

	mu    sync.Mutex
	state claimState
}

// Started must be called right before the first byte is sent to the backend server. It refuses if
// the lease has expired: the claimant may have been paused since its claim, and resends may have
// been answered that the outcome is unknown. The lease is measured on this process's monotonic
// clock from before the claim was written, so a pause at any point in between counts. After a
// refusal, call Abandon.
func (c *Claim) Started(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == claimEnded {
		return refusal(call.ReasonExpired, "the claim has ended")
	}
	if c.d.opts.Now().Sub(c.leaseStart) >= c.d.opts.Lease {
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

package once

import (
	"context"
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// errDeadline is the cause of a context that ended at Request.Deadline.
var errDeadline = errors.New("once: the deadline of the request passed")

// flight is a request in hand at this node, so that repeats that reach the same
// node wait for it without asking the platform.
type flight struct {
	key         string
	fingerprint [32]byte
	since       time.Time
	// done is closed once the run is over for those who joined.
	done chan struct{}
	// outcome is set before done is closed; nil means that those who joined
	// must look again.
	outcome *Stored
	// kept says that the outcome, or the fact of the run, is remembered here
	// because the platform does not have it. unsaved is what it should have.
	kept    bool
	unsaved *unsavedOutcome
	bytes   int // counted in Keeper.heldBytes
}

// unsavedOutcome is an outcome that could not be stored yet.
type unsavedOutcome struct {
	nonce string
	row   row
}

// enter returns the flight of the key and whether the caller is its first.
func (k *Keeper) enter(key string, r Request) (*flight, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := k.flights[key]; f != nil {
		return f, false
	}
	f := &flight{key: key, fingerprint: r.Fingerprint, since: k.o.Now(), done: make(chan struct{})}
	k.flights[key] = f
	return f, true
}

// leave forgets a flight that ended without an outcome at this node.
func (k *Keeper) leave(f *flight) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop(f)
}

// drop forgets a flight. k.mu is held.
func (k *Keeper) drop(f *flight) {
	if k.flights[f.key] != f {
		return
	}
	delete(k.flights, f.key)
	if f.kept {
		k.held--
		k.heldBytes -= f.bytes
	}
	closeOnce(f.done)
}

// settle gives the outcome to those who joined.
func (k *Keeper) settle(f *flight, s *Stored) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f.outcome = s
	closeOnce(f.done)
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// join waits for the outcome of a run on this node.
func (k *Keeper) join(ctx context.Context, f *flight, r Request) (Begun, error) {
	if f.fingerprint != r.Fingerprint {
		return k.count(Begun{}, refusal(call.ReasonKeyReused, ""))
	}
	k.mu.Lock()
	k.stats.Joins++
	k.mu.Unlock()
	select {
	case <-f.done:
	case <-ctx.Done():
		return k.count(Begun{Unknown: true}, nil)
	}
	if s := k.outcome(f); s != nil {
		return k.count(Begun{Replay: s}, nil)
	}
	return k.Begin(ctx, r)
}

func (k *Keeper) outcome(f *flight) *Stored {
	k.mu.Lock()
	defer k.mu.Unlock()
	return f.outcome
}

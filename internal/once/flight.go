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
	outcome *StoredOutcome
	lost    bool // the outcome never will be known
	// kept says that the outcome, or the fact of the run, is remembered here
	// because the platform does not have it. unsaved is what it should have.
	kept    bool
	unsaved *unsavedOutcome
	bytes   int // counted in Deduplicator.heldBytes
}

// unsavedOutcome is an outcome that could not be stored yet.
type unsavedOutcome struct {
	nonce string
	row   row
}

// enter returns the flight of the key and whether the caller is its first.
func (k *Deduplicator) enter(key string, r Request) (*flight, bool) {
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
func (k *Deduplicator) leave(f *flight) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop(f)
}

// drop forgets a flight. k.mu is held.
func (k *Deduplicator) drop(f *flight) {
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

// settle gives the outcome, or that there is none to be known, to those who
// joined.
func (k *Deduplicator) settle(f *flight, s *StoredOutcome, lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f.outcome, f.lost = s, lost
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
func (k *Deduplicator) join(ctx context.Context, f *flight, r Request) (Decision, error) {
	if f.fingerprint != r.Fingerprint {
		return k.count(Decision{}, refusal(call.ReasonKeyReused, ""))
	}
	k.mu.Lock()
	k.stats.Joins++
	k.mu.Unlock()
	select {
	case <-f.done:
	case <-ctx.Done():
		return k.count(Decision{Unknown: true}, nil)
	}
	s, lost := k.outcome(f)
	if s != nil || lost {
		return k.count(Decision{Replay: s, Unknown: lost}, nil)
	}
	return k.Begin(ctx, r)
}

func (k *Deduplicator) outcome(f *flight) (s *StoredOutcome, lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return f.outcome, f.lost
}

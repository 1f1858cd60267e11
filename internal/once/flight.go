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
	// retained says that the outcome, or the fact of the run, is remembered here
	// because the platform does not have it. unsaved is what it should have.
	retained bool
	unstored *unstoredOutcome
	bytes    int // counted in Deduplicator.heldBytes
}

// unstoredOutcome is an outcome that could not be stored yet.
type unstoredOutcome struct {
	nonce string
	row   row
}

// flightFor returns the flight of the key and whether the caller is its first.
func (d *Deduplicator) flightFor(key string, r Request) (*flight, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.flights[key]; f != nil {
		return f, false
	}
	f := &flight{key: key, fingerprint: r.Fingerprint, since: d.opts.Now(), done: make(chan struct{})}
	d.flights[key] = f
	return f, true
}

// forget forgets a flight that ended without an outcome at this node.
func (d *Deduplicator) forget(f *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetLocked(f)
}

// forgetLocked forgets a flight. d.mu is held.
func (d *Deduplicator) forgetLocked(f *flight) {
	if d.flights[f.key] != f {
		return
	}
	delete(d.flights, f.key)
	if f.retained {
		d.localKeys--
		d.localBytes -= f.bytes
	}
	closeOnce(f.done)
}

// publish gives the outcome, or that there is none to be known, to those who
// joined.
func (d *Deduplicator) publish(f *flight, s *StoredOutcome, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
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
func (d *Deduplicator) join(ctx context.Context, f *flight, r Request) (Decision, error) {
	if f.fingerprint != r.Fingerprint {
		return d.count(Decision{}, refusal(call.ReasonKeyReused, ""))
	}
	d.mu.Lock()
	d.stats.Joins++
	d.mu.Unlock()
	select {
	case <-f.done:
	case <-ctx.Done():
		return d.count(Decision{Unknown: true}, nil)
	}
	s, lost := d.outcome(f)
	if s != nil || lost {
		return d.count(Decision{Replay: s, Unknown: lost}, nil)
	}
	return d.Begin(ctx, r)
}

func (d *Deduplicator) outcome(f *flight) (s *StoredOutcome, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return f.outcome, f.lost
}

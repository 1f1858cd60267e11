package once

import (
	"context"
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// errDeadline is the cause of a context that ended at Request.Deadline.
var errDeadline = errors.New("once: the deadline of the request passed")

// flight is a request in progress on this node. Resends that reach the same node wait for it
// without reading the platform.
type flight struct {
	key         string
	fingerprint [32]byte
	since       time.Time
	// done is closed when requests that joined need not wait any longer.
	done chan struct{}
	// outcome is set before done is closed; nil means that requests that joined must begin again,
	// unless lost is set.
	outcome *StoredOutcome
	lost    bool // the outcome will never be known
	// retained means that the outcome, or the fact of the run, is kept here because the platform
	// does not have it. unstored is the outcome to store.
	retained bool
	unstored *unstoredOutcome
	bytes    int // counted in Deduplicator.localBytes
}

// unstoredOutcome is an outcome that could not be stored yet.
type unstoredOutcome struct {
	nonce string
	row   row
}

// flightFor returns the flight of the key and whether this call created it.
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

// forget removes a flight and wakes the requests that joined it.
func (d *Deduplicator) forget(f *flight) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetLocked(f)
}

// forgetLocked is forget with d.mu held.
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

// publish passes the outcome, or the fact that it is lost, to the requests that joined.
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

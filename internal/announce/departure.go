package announce

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// maxHold is how long a ready announcement is held whose backend server can't be confirmed. One that
// has announced itself for as long runs: an announcement from before its departure is late by seconds,
// and few are.
const maxHold = 5 * time.Second

// Departure is an incarnation of a backend server that has said that it leaves.
type Departure struct {
	Instance string
	// Started is the start of the incarnation, in Unix milliseconds; zero if not reported.
	Started int64
	// Withdrawn means that it has left, or will without draining first.
	Withdrawn bool
	// At is when it said so, by the clock of its VM.
	At time.Time
}

// Departures remembers departures longer than the process runs.
type Departures interface {
	// Record returns once the departure is stored, or ctx is done; it is stored later then.
	Record(ctx context.Context, d Departure)
}

// departureRow is the value of a departure's row.
type departureRow struct {
	Instance  string `json:"instance"`
	Started   int64  `json:"started_ms,omitempty"`
	Withdrawn bool   `json:"withdrawn,omitempty"`
	At        int64  `json:"at_ms"`
}

// Encode returns the value of the departure's row.
func (d Departure) Encode() []byte {
	data, err := json.Marshal(departureRow{d.Instance, d.Started, d.Withdrawn, d.At.UnixMilli()})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// DecodeDeparture decodes the value of a row.
func DecodeDeparture(value []byte) (Departure, error) {
	var r departureRow
	if err := json.Unmarshal(value, &r); err != nil {
		return Departure{}, fmt.Errorf("announce: decode a departure: %w", err)
	}
	return Departure{Instance: r.Instance, Started: r.Started, Withdrawn: r.Withdrawn, At: time.UnixMilli(r.At)}, nil
}

// RestoreDepartures takes in the departures that earlier processes on this VM recorded, ends the hold
// on ready announcements and returns the changes.
func (r *Registry) RestoreDepartures(now time.Time, list []Departure) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range list {
		if a := (Announcement{Instance: d.Instance, Started: d.Started}); d.Withdrawn {
			r.departed.add(a)
		} else {
			r.leaving.add(a)
		}
	}
	r.restored = true
	var changes []Change
	var kept []Backend
	for _, b := range r.Load() {
		previous := b.State
		switch {
		case r.departed.has(b.Announcement):
			changes = append(changes, Change{Kind: Withdrawn, Backend: b, PreviousState: previous})
			continue
		case r.isLeaving(b.Announcement):
			b.State, b.ReadySince, b.Leaving = membership.BackendDraining, time.Time{}, true
		case b.Held && b.Instance == r.denied:
			kept = append(kept, b)
			continue
		case b.Held:
			b.State, b.ReadySince = membership.BackendReady, now
		}
		b.Held = false
		if b.State != previous {
			changes = append(changes, Change{Kind: Changed, Backend: b, PreviousState: previous})
		}
		kept = append(kept, b)
	}
	r.publish(kept)
	return changes
}

// Confirm ends the hold on an instance that has said, when asked, that it is in service, and returns the
// change, if any.
func (r *Registry) Confirm(now time.Time, instance string) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed = instance
	list := slices.Clone(r.Load())
	at, known := find(list, instance)
	if !known || !list[at].Held {
		return nil
	}
	b := &list[at]
	previous := b.State
	b.Held, b.State, b.ReadySince = false, membership.BackendReady, now
	r.publish(list)
	return []Change{{Kind: Changed, Backend: *b, PreviousState: previous}}
}

// Deny records that an instance has said, when asked, that it is not in service. It may have left while
// the table didn't answer, so that its departure is not recorded; it stays on hold until it is confirmed
// or has announced itself for maxHold. It returns the change, if any.
func (r *Registry) Deny(now time.Time, instance string) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.denied = instance
	list := slices.Clone(r.Load())
	at, known := find(list, instance)
	if !known || list[at].State != membership.BackendReady {
		return nil
	}
	b := &list[at]
	b.Held, b.State, b.ReadySince = true, membership.BackendStarting, time.Time{}
	r.heldSince = now
	r.publish(list)
	return []Change{{Kind: Changed, Backend: *b, PreviousState: membership.BackendReady}}
}

// AwaitsConfirmation reports whether no backend server is known whose announcement is not held.
func (r *Registry) AwaitsConfirmation() bool {
	for _, b := range r.Load() {
		if !b.Held {
			return false
		}
	}
	return true
}

// hold reports whether a ready announcement must not put its backend server into service yet: it may
// have been sent before a departure that an earlier process on this VM acknowledged.
func (r *Registry) hold(now time.Time, a Announcement) bool {
	if !r.limits.RestoreDepartures || r.restored && a.Instance != r.denied || a.State != membership.BackendReady || a.Instance == r.confirmed {
		return false
	}
	list := r.Load()
	at, known := find(list, a.Instance)
	if known && !list[at].Held {
		return list[at].State != membership.BackendReady
	}
	if !known || list[at].Started != a.Started {
		r.heldSince = now
	}
	return now.Sub(r.heldSince) < maxHold
}

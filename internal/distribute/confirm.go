package distribute

import (
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

const (
	// inForceIn is the operators' bound from the acceptance of a change until it is in force on
	// every node that reaches the platform.
	inForceIn = 13 * time.Second
	// readTime is kept of that for reading the platform's head and log, and for putting the version
	// in force.
	readTime = 800 * time.Millisecond
	// confirmWithin is how old a node that reads for itself alone lets its confirmation become.
	confirmWithin = inForceIn - readTime
	// tellTime is kept for telling the others, beside Profile.PushDelay for each of tellSteps from
	// the node that reads through the first of a data centre to the last.
	tellTime  = 500 * time.Millisecond
	tellSteps = 3
	// standInSpread is the time from the first to the last node of a data centre that would read in
	// place of its feeders. The first one leaves a confirmation the time to pass through a data
	// centre with the membership's messages, as it does in calm times.
	standInSpread = 2 * time.Second
	// unheardFor is how long a node hears no other before it takes itself for cut off.
	unheardFor = 5 * time.Second
)

// Confirmation is the newest answer of the platform, or of another source of versions, that makes a
// version the newest.
type Confirmation struct {
	At     time.Time // when the source was asked, or zero
	Reader string    // id of the node that asked; empty if none is known
}

// MaxConfirmedAge bounds what a message can say; older is as good as never.
const MaxConfirmedAge = time.Hour

// ConfirmationFromProto reads what a message says that was taken at some time.
func ConfirmationFromProto(now time.Time, c *peerpb.Confirmation) Confirmation {
	ms := min(c.GetAgeMs(), uint64(MaxConfirmedAge.Milliseconds()))
	return Confirmation{At: now.Add(-time.Duration(ms) * time.Millisecond), Reader: c.GetReader()}
}

// Proto returns what a message says that is sent at some time, or nil if nothing is known.
func (c Confirmation) Proto(now time.Time) *peerpb.Confirmation {
	if c.Reader == "" {
		return nil
	}
	return &peerpb.Confirmation{AgeMs: CeilMilliseconds(now.Sub(c.At)), Reader: c.Reader}
}

// CeilMilliseconds returns an age for a message, rounded up: rounded down, each node that passes
// it on would make it younger.
func CeilMilliseconds(age time.Duration) uint64 {
	return uint64((max(age, 0) + time.Millisecond - 1).Milliseconds())
}

// noteConfirmed notes that the platform, asked by reader at some time, had no version newer than the
// one held.
func (s *State) noteConfirmed(at time.Time, reader string) {
	if at.After(s.confirmed.At) {
		s.confirmed = Confirmation{at, reader}
	}
}

// RecordMessage takes what any message of a peer tells: that it is heard, and how old the newest answer
// of the platform is behind its version. That a version held was the newest at some time confirms
// a later one as well.
func (s *State) RecordMessage(now time.Time, e VersionReceived) {
	s.heardAt = now
	if e.Confirmed.Reader != "" && s.chain.relation(e.Version) == relationHeld {
		s.noteConfirmed(e.Confirmed.At, e.Confirmed.Reader)
	}
}

// confirmRead confirms the version held once it has reached what the platform answered this node.
func (s *State) confirmRead() {
	f := &s.feed
	if f.askedAt.After(s.confirmed.At) && f.current && s.chain.relation(f.answer) == relationHeld {
		s.noteConfirmed(f.askedAt, s.set.Self)
	}
}

// confirmedSince returns when the version held was last known to be the newest, or when this node
// started.
func (s *State) confirmedSince() time.Time {
	if s.confirmed.At.IsZero() {
		return s.started
	}
	return s.confirmed.At
}

// overdue reports whether a node that is no feeder has to read the platform itself.
//
// It guards against feeders that get no answer, or that this node does not hear: both look like a
// time without changes. The nodes of a data centre read one after the other, by rank, so that one
// whom the platform answers confirms the version to the others before most of them read. After an
// answer that confirms nothing, as an old head, a node waits for as long as the bound allows.
func (s *State) overdue() bool {
	f := &s.feed
	if f.feeder || !s.start.done || s.now.Before(f.standInAt) {
		return false
	}
	if f.answeredAt.After(s.confirmed.At) && s.now.Sub(f.answeredAt) < s.readsAloneEvery() {
		return false
	}
	return s.now.Sub(s.confirmedSince()) >= s.standsInAfter()
}

// standsInAfter returns how old the confirmation of a node that is no feeder becomes before it reads.
func (s *State) standsInAfter() time.Duration {
	f := &s.feed
	if s.confirmed.Reader == s.set.Self && s.hearsNobody() {
		return s.readsAloneEvery()
	}
	last := confirmWithin - tellTime - tellSteps*s.set.Profile.PushDelay
	return last - standInSpread*time.Duration(f.among-f.rank)/time.Duration(max(f.among, 1))
}

// readsAloneEvery returns the time between the reads of a node that nobody else confirms its version
// to. All others of its data centre may be in the same place, and together they read as often as its
// feeders do, or as seldom as the bound allows.
func (s *State) readsAloneEvery() time.Duration {
	shared := s.set.Profile.HeadInterval * time.Duration(s.feed.among) / feedersPerDC
	return min(shared, confirmWithin)
}

// noteStandIn reports a read in place of the feeders that was needed: it found a newer version, or
// nobody else has confirmed the one held since the read before. It reports once until somebody does. In
// a large data centre a confirmation comes late now and then; a read for that alone is no fault.
func (s *State) noteStandIn(needed bool) {
	f := &s.feed
	if s.confirmed.Reader != s.set.Self {
		f.reported = false
	}
	if !needed || f.reported {
		return
	}
	f.reported = true
	s.emit(FallbackRead{&ConfirmationOverdue{Held: s.Version(), Age: s.now.Sub(s.confirmedSince()), Reader: s.confirmed.Reader}})
}

// alone reports whether this node hears none of the others that its membership lists. What a feeder
// reads reaches nobody else then.
func (s *State) alone() bool { return s.feed.unsure && s.hearsNobody() }

func (s *State) hearsNobody() bool { return s.now.Sub(s.heardAt) >= unheardFor }

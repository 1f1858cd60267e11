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
	// tellTime is kept for telling the others, beside Profile.TellDelay for each of tellSteps from
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

// confirmation is the newest answer of the platform that makes the version held the newest.
type confirmation struct {
	at     time.Time // when the platform was asked, or zero
	reader string    // id of the node that asked
}

// Confirmation is what a peer's message says of the version that it carries.
type Confirmation struct {
	// Age is how long ago the platform was asked that had no newer version.
	Age time.Duration
	// Reader is the id of the node that asked; empty if none is known.
	Reader string
}

// maxConfirmedAge bounds what a message can say; older is as good as never.
const maxConfirmedAge = time.Hour

func confirmationFromProto(c *peerpb.Confirmation) Confirmation {
	age := min(c.GetAgeMs(), uint64(maxConfirmedAge.Milliseconds()))
	return Confirmation{Age: time.Duration(age) * time.Millisecond, Reader: c.GetReader()}
}

// toProto tells the age in whole milliseconds, rounded up: rounded down, each node that passes
// it on would make it younger.
func (c confirmation) toProto(now time.Time) *peerpb.Confirmation {
	if c.reader == "" {
		return nil
	}
	age := max(now.Sub(c.at), 0) + time.Millisecond - 1
	return &peerpb.Confirmation{AgeMs: uint64(age.Milliseconds()), Reader: c.reader}
}

// noteConfirmed notes that the platform, asked by reader at some time, had no version newer than the
// one held.
func (s *State) noteConfirmed(at time.Time, reader string) {
	if at.After(s.confirmed.at) {
		s.confirmed = confirmation{at, reader}
	}
}

// Contact takes what any message of a peer tells: that it is heard, and how old the newest answer
// of the platform is behind its version. That a version held was the newest at some time confirms
// a later one as well.
func (s *State) Contact(now time.Time, e Heard) {
	s.heardAt = now
	if e.Confirmed.Reader != "" && s.chain.relation(e.Version) == relationHeld {
		s.noteConfirmed(now.Add(-e.Confirmed.Age), e.Confirmed.Reader)
	}
}

// confirmRead confirms the version held once it has reached what the platform answered this node.
func (s *State) confirmRead() {
	f := &s.feed
	if f.askedAt.After(s.confirmed.at) && f.current && s.chain.relation(f.answer) == relationHeld {
		s.noteConfirmed(f.askedAt, s.set.Self)
	}
}

// confirmedSince returns when the version held was last known to be the newest, or when this node
// started.
func (s *State) confirmedSince() time.Time {
	if s.confirmed.at.IsZero() {
		return s.started
	}
	return s.confirmed.at
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
	if f.answeredAt.After(s.confirmed.at) && s.now.Sub(f.answeredAt) < s.readsAloneEvery() {
		return false
	}
	return s.now.Sub(s.confirmedSince()) >= s.standsInAfter()
}

// standsInAfter returns how old the confirmation of a node that is no feeder becomes before it reads.
func (s *State) standsInAfter() time.Duration {
	f := &s.feed
	if s.confirmed.reader == s.set.Self && s.hearsNobody() {
		return s.readsAloneEvery()
	}
	last := confirmWithin - tellTime - tellSteps*s.set.Profile.TellDelay
	return last - standInSpread*time.Duration(f.among-f.rank)/time.Duration(max(f.among, 1))
}

// readsAloneEvery returns the time between the reads of a node that nobody else confirms its version
// to. All others of its data centre may be in the same place, and together they read as often as its
// feeders do, or as seldom as the bound allows.
func (s *State) readsAloneEvery() time.Duration {
	shared := s.set.Profile.HeadEvery * time.Duration(s.feed.among) / feedersPerDC
	return min(shared, confirmWithin)
}

// noteStandIn reports a read in place of the feeders that was needed: it found a newer version, or
// nobody else has confirmed the one held since the read before. It reports once until somebody does. In
// a large data centre a confirmation comes late now and then; a read for that alone is no fault.
func (s *State) noteStandIn(needed bool) {
	f := &s.feed
	if s.confirmed.reader != s.set.Self {
		f.reported = false
	}
	if !needed || f.reported {
		return
	}
	f.reported = true
	s.emit(StandIn{&NotConfirmed{Held: s.Version(), Age: s.now.Sub(s.confirmedSince()), Reader: s.confirmed.reader}})
}

// alone reports whether this node hears none of the others that its membership lists. What a feeder
// reads reaches nobody else then.
func (s *State) alone() bool { return s.feed.unsure && s.hearsNobody() }

func (s *State) hearsNobody() bool { return s.now.Sub(s.heardAt) >= unheardFor }

package follow

import (
	"math/bits"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

const (
	// confirmPart is the part of the time in which a version has to be in force that may pass
	// between two answers of the source to a node whose reading others depend on. Nodes that
	// then miss a confirmation, ask for one in vain and read by themselves have the rest.
	confirmPart = 0.3
	// sourceHold is for how long the source holds a question of a node whose reading nobody
	// depends on. Long, since platforms charge for every question.
	sourceHold = 25 * time.Second
	// answerTime is what an answer of the source and its way to others may take.
	answerTime = 250 * time.Millisecond
	// askTimeout bounds a question to a teller.
	askTimeout = 350 * time.Millisecond
	// askMargin is how long a node waits for a confirmation that is due before it asks.
	askMargin = 20 * time.Millisecond
	// askGap is the least time between two questions of a node whose last one was answered, and
	// askEvery the time between those of a node whose tellers confirm nothing, or don't tell how
	// old their confirmation is.
	askGap   = 100 * time.Millisecond
	askEvery = 500 * time.Millisecond
	// askTreeEvery is the time between the questions of a node below others in a tree, of which
	// many ask the same one.
	askTreeEvery = 2 * time.Second
	// askStep is what the nodes of one group leave to those of the group before, which may read
	// the source and confirm it to all. The first group has askFirst nodes, and each other one as
	// many as all before it.
	askStep  = 100 * time.Millisecond
	askFirst = 4
)

// contact is what a node knows of those that it depends on for versions.
//
// It guards against a node that the source would answer and that is told nothing: because it
// is cut off from its tellers, they are gone, or the source leaves them without an answer.
// All of these look like a time without changes.
type contact struct {
	missed  []string // tellers that confirmed nothing since one last did
	lost    bool     // no teller confirms the version held, so this node reads the source
	nextAsk time.Time
}

// Answer is what a teller says of the version that it holds.
type Answer struct {
	// Known is unset for a node that doesn't tell when its version was confirmed.
	Known  bool
	Age    time.Duration // of the newest confirmation
	Reader string        // who had it from the source
}

// placeIn returns the place of this node in a view.
func (s *State) placeIn(view *membership.View) distribute.Position {
	if s.placed != view || view == nil {
		s.placed, s.place = view, distribute.PositionOf(view, s.set.Self, s.set.DataCentre)
		s.leads, s.reader = false, false
		if s.place.Depth == 0 {
			s.placeFeeder(distribute.Readers(view, s.set.Self, s.set.DataCentre))
		}
	}
	return s.place
}

// placeFeeder says on whom a feeder depends: the second on the first of its data centre, and
// that on the reader that leads.
func (s *State) placeFeeder(readers []string) {
	s.leads = readers[0] == s.set.Self
	s.reader = slices.Contains(readers, s.set.Self)
	switch {
	case s.leads:
	case s.place.Rank == 0:
		s.place.Parents = readers[:1]
	default:
		s.place.Parents = s.place.Feeders[:1]
	}
}

// Ask returns the node to ask now. Answered or Missed must follow. There is none for the feeder
// that leads, or while the node waits for its first version.
func (s *State) Ask(now time.Time, boot time.Duration, view *membership.View) (teller string, due bool) {
	if !s.asks(view) {
		s.contact = contact{}
		return "", false
	}
	if s.AskIn(now, boot, view) > 0 {
		return "", false
	}
	if reader, due := s.askReader(boot, view); due {
		return reader, true
	}
	tellers := s.placeIn(view).Parents
	if len(tellers) == 0 {
		return "", false
	}
	for _, id := range tellers {
		if !slices.Contains(s.contact.missed, id) {
			return id, true
		}
	}
	s.contact.missed = nil // the membership has changed since
	return tellers[0], true
}

// asks reports whether this node depends on others that it can ask. The reader that leads does
// for assurances alone, where the source leaves it without an answer.
func (s *State) asks(view *membership.View) bool {
	return s.fed() && (len(s.placeIn(view).Parents) > 0 || s.set.MaxAssuranceAge > 0)
}

// AskIn returns when to ask again. Where one did not confirm the version the next is asked at once.
func (s *State) AskIn(now time.Time, boot time.Duration, view *membership.View) time.Duration {
	c := &s.contact
	switch {
	case !s.asks(view):
		return askEvery
	case len(c.missed) > 0:
		return 0
	case c.lost:
		return c.nextAsk.Sub(now)
	case len(s.placeIn(view).Parents) == 0:
		return s.askReaderIn(now, boot, view)
	}
	age, _ := s.ConfirmedAge(now)
	due := s.askAge(view) - age
	if s.set.MaxAssuranceAge > 0 {
		due = min(due, s.assureIn(boot, s.placeIn(view)))
	}
	return max(due, c.nextAsk.Sub(now))
}

// askAge is the age of the confirmation from which on this node asks for a newer one. It grows
// with the rank: of many nodes that find it too old, the first then read the source, and the
// others are answered by what these have read.
func (s *State) askAge(view *membership.View) time.Duration {
	place := s.placeIn(view)
	group := bits.Len(uint(max(place.Rank, 0) / askFirst))
	return s.confirmedWithin(place, 0) + askMargin + askStep*time.Duration(group)
}

// confirmedWithin is the age that the confirmation of a teller has at most while the source
// answers: of a feeder, or of a node above this one in a tree.
func (s *State) confirmedWithin(place distribute.Position, teller int) time.Duration {
	if place.Depth < 2 || teller > 0 {
		return s.set.staleAfter()
	}
	return s.set.staleAfter() + askTreeEvery*time.Duration(place.Depth-1)
}

// fed reports whether versions come to the node by others, if it is no feeder.
func (s *State) fed() bool { return s.held.Number > 0 || s.none }

// Answered notes what a teller answered. It reports whether the node has lost its contact with
// this, or has it again.
func (s *State) Answered(now time.Time, teller string, a Answer, view *membership.View) (lost, regained bool) {
	place := s.placeIn(view)
	if a.Known && a.Age > s.confirmedWithin(place, slices.Index(place.Parents, teller)) {
		return s.Missed(now, teller, view), false
	}
	c := &s.contact
	c.missed, c.nextAsk = nil, now.Add(askGap)
	if !a.Known {
		c.nextAsk = now.Add(askEvery)
	}
	if c.lost && a.Known && a.Reader == s.set.Self {
		c.nextAsk = now.Add(askEvery) // it is this node's reading that the teller has heard of
		return false, false
	}
	regained = c.lost
	c.lost = false
	if regained {
		s.failing = false // reading the source is up to others again
	}
	return false, regained
}

// Missed notes that a teller did not answer, or that its answer confirms nothing. It reports
// whether it was the last of them.
func (s *State) Missed(now time.Time, teller string, view *membership.View) (lost bool) {
	c := &s.contact
	if len(s.placeIn(view).Parents) == 0 {
		c.nextAsk = now.Add(askEvery)
		return false
	}
	c.missed = append(c.missed, teller)
	for _, id := range s.placeIn(view).Parents {
		if !slices.Contains(c.missed, id) {
			return false
		}
	}
	lost = !c.lost
	c.missed, c.lost, c.nextAsk = nil, true, now.Add(askEvery)
	return lost
}

// Reads reports whether other nodes depend on this one's reading of the source, so that it
// must be answered soon: on that of the reader that leads, and on that of a node that nobody
// confirms its version to.
func (s *State) Reads(view *membership.View) bool {
	s.placeIn(view)
	return s.contact.lost || s.leads
}

// StandsIn reports whether this node reads the source in place of its feeders.
func (s *State) StandsIn(view *membership.View) bool {
	return s.contact.lost && s.placeIn(view).Depth > 0
}

// Hold is for how long the source may hold a question that this node asks now.
func (s *State) Hold(now time.Time, view *membership.View) time.Duration {
	if !s.Reads(view) {
		return sourceHold
	}
	return max(0, s.set.confirmEvery()-now.Sub(s.answered))
}

// Reports returns the nodes to tell of each answer of the source: the feeders, which others ask.
// A reader tells those of all data centres.
func (s *State) Reports(view *membership.View) []string {
	if !s.Reads(view) && !s.reader {
		return nil
	}
	feeders := slices.Clone(s.placeIn(view).Feeders)
	if s.reader {
		feeders = append(feeders, distribute.OtherFeeders(view, s.set.Self, s.set.DataCentre)...)
	}
	return slices.DeleteFunc(feeders, func(id string) bool { return id == s.set.Self })
}

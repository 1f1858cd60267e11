package follow

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

const (
	// askEvery is the time between two questions of a node to those that tell it, and
	// askTimeout bounds one. Cut off right after an answer, a node knows that it is after
	// askEvery and two questions, 1.2 s, which leaves it the rest of the 2 s within which a
	// version is in force for reading the source.
	askEvery   = 500 * time.Millisecond
	askTimeout = 350 * time.Millisecond
	// askersAtOnce is how many nodes ask one that often. Where more depend on it they ask
	// less often, so that it answers 16 questions a second, some 5 KB/s, at most.
	askersAtOnce = 8
)

// contact is what a node that is no feeder knows of those that it depends on.
//
// It guards against a node that is cut off from its feeders, or whose feeders are gone, and
// that the platform would answer. Nothing comes to it any more, which looks like a calm time:
// it would send calls by its old version until the membership takes the feeders for gone,
// some seconds later than the version has to be in force. So it asks all the while whether
// they are there, and reads the source by itself from the moment at which nobody answers.
type contact struct {
	missed []string // those that did not answer since the last answer
	lost   bool     // nobody answers
	askers int      // how many ask the same node, at most
}

// Ask returns the node to ask now. Answered or Missed must follow. There is none for a
// feeder, or while the node waits for its first version.
func (s *State) Ask(view *membership.View) (teller string, due bool) {
	tellers, askers := distribute.Tellers(view, s.set.Self, s.set.DataCentre)
	if !s.fed() || len(tellers) == 0 {
		s.contact = contact{}
		return "", false
	}
	s.contact.askers = askers
	for _, id := range tellers {
		if !slices.Contains(s.contact.missed, id) {
			return id, true
		}
	}
	s.contact.missed = nil // the membership has changed since
	return tellers[0], true
}

// fed reports whether versions come to the node by others, if it is no feeder.
func (s *State) fed() bool { return s.held.Number > 0 || s.none }

// Answered notes that one of them answered, and reports whether nobody did before.
func (s *State) Answered() (regained bool) {
	regained = s.contact.lost
	s.contact.missed, s.contact.lost = nil, false
	if regained {
		s.failing = false // reading the source is up to the feeders again
	}
	return regained
}

// Missed notes that one did not answer, and reports whether it was the last of them.
func (s *State) Missed(teller string, view *membership.View) (lost bool) {
	c := &s.contact
	c.missed = append(c.missed, teller)
	tellers, _ := distribute.Tellers(view, s.set.Self, s.set.DataCentre)
	for _, id := range tellers {
		if !slices.Contains(c.missed, id) {
			return false
		}
	}
	lost = !c.lost
	c.missed, c.lost = nil, true
	return lost
}

// AskIn returns when to ask again. Where one did not answer the next is asked at once.
func (s *State) AskIn() time.Duration {
	if len(s.contact.missed) > 0 {
		return 0
	}
	return askEvery * time.Duration(max(s.contact.askers, askersAtOnce)) / askersAtOnce
}

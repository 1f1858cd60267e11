package follow

import (
	"math/bits"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

const (
	// confirmFraction is the maximum time between two answers of the source to a node that confirms
	// for others, as a fraction of Settings.InForceWithin. The rest is for the other nodes to miss
	// a confirmation, query their parents in vain and read the source themselves.
	confirmFraction = 0.3
	// sourceHold is how long the source holds the long poll of a node that confirms for no others.
	// It is long because platforms charge for every request.
	sourceHold = 25 * time.Second
	// answerAllowance is the time allowed for an answer of the source to reach the other nodes.
	answerAllowance = 250 * time.Millisecond
	// queryTimeout bounds a query to a parent.
	queryTimeout = 350 * time.Millisecond
	// queryMargin is how long a node waits for a confirmation that is due before it queries.
	queryMargin = 20 * time.Millisecond
	// minQueryInterval is the minimum time between queries after an answer, and
	// unconfirmedQueryInterval the time between the queries of a node whose parents confirm
	// nothing, or do not report the age of their confirmation.
	minQueryInterval         = 100 * time.Millisecond
	unconfirmedQueryInterval = 500 * time.Millisecond
	// treeQueryInterval is added per level to the confirmation age at which a node below the first
	// level of a tree queries, because many such nodes query the same parent.
	treeQueryInterval = 2 * time.Second
	// queryStagger is the delay of each group of nodes after the previous group, whose nodes may
	// read the source and confirm to all. The first group has firstGroupSize nodes, and each other
	// group as many as all groups before it.
	queryStagger   = 100 * time.Millisecond
	firstGroupSize = 4
)

// contact tracks whether the parents of this node confirm the version held.
//
// It guards against a node that receives no versions although the source would answer it: the node
// is partitioned from its parents, they are gone, or the source does not answer them. All of these
// look like a period without changes.
type contact struct {
	unconfirmed []string // parents that did not confirm since the last confirmation
	lost        bool     // no parent confirms the version held, so this node reads the source
	nextQuery   time.Time
}

// Answer is a peer's confirmation of the version that it holds.
type Answer struct {
	// HasConfirmation is false if the peer does not report when its version was confirmed.
	HasConfirmation bool
	Age             time.Duration // of the peer's newest confirmation
	Reader          string        // ID of the node that read it from the source
}

// positionIn returns the position of this node in a view.
func (s *State) positionIn(view *membership.View) distribute.Position {
	if s.positionView != view || view == nil {
		s.positionView, s.position = view, distribute.PositionOf(view, s.set.Self, s.set.DataCentre)
		s.leads, s.reader = false, false
		if s.position.Depth == 0 {
			s.setFeederParents(distribute.Readers(view, s.set.Self, s.set.DataCentre))
		}
	}
	return s.position
}

// setFeederParents sets the parents of a feeder: the leading reader for the first feeder of a data
// centre, and the first feeder for the second.
func (s *State) setFeederParents(readers []string) {
	s.leads = readers[0] == s.set.Self
	s.reader = slices.Contains(readers, s.set.Self)
	switch {
	case s.leads:
	case s.position.Rank == 0:
		s.position.Parents = readers[:1]
	default:
		s.position.Parents = s.position.Feeders[:1]
	}
}

// NextQuery returns the node to query now. RecordAnswer or RecordUnconfirmed must follow. There is
// none for the leading reader, unless an assurance is due, or while the node waits for its first
// version.
func (s *State) NextQuery(now time.Time, boot time.Duration, view *membership.View) (parent string, due bool) {
	if !s.queriesPeers(view) {
		s.contact = contact{}
		return "", false
	}
	if s.NextQueryIn(now, boot, view) > 0 {
		return "", false
	}
	if reader, due := s.assuranceReader(boot, view); due {
		return reader, true
	}
	parents := s.positionIn(view).Parents
	if len(parents) == 0 {
		return "", false
	}
	for _, id := range parents {
		if !slices.Contains(s.contact.unconfirmed, id) {
			return id, true
		}
	}
	s.contact.unconfirmed = nil // the membership has changed
	return parents[0], true
}

// queriesPeers reports whether this node has peers to query. The leading reader queries for
// assurances alone, while the source does not answer it.
func (s *State) queriesPeers(view *membership.View) bool {
	return s.receivesVersions() && (len(s.positionIn(view).Parents) > 0 || s.set.MaxAssuranceAge > 0)
}

// NextQueryIn returns the time until the next query. If a parent did not confirm the version, the
// next one is queried at once.
func (s *State) NextQueryIn(now time.Time, boot time.Duration, view *membership.View) time.Duration {
	c := &s.contact
	switch {
	case !s.queriesPeers(view):
		return unconfirmedQueryInterval
	case len(c.unconfirmed) > 0:
		return 0
	case c.lost:
		return c.nextQuery.Sub(now)
	case len(s.positionIn(view).Parents) == 0:
		return s.leaderQueryIn(now, boot, view)
	}
	age, _ := s.ConfirmedAge(now)
	due := s.queryAge(view) - age
	if s.set.MaxAssuranceAge > 0 {
		due = min(due, s.nextAssuranceIn(boot, s.positionIn(view)))
	}
	return max(due, c.nextQuery.Sub(now))
}

// queryAge returns the age of the confirmation at which this node queries for a newer one. It grows
// with the rank: the first of many nodes whose confirmation is too old read the source, and the
// others are then confirmed by these reads.
func (s *State) queryAge(view *membership.View) time.Duration {
	position := s.positionIn(view)
	group := bits.Len(uint(max(position.Rank, 0) / firstGroupSize))
	return s.maxConfirmationAge(position, 0) + queryMargin + queryStagger*time.Duration(group)
}

// maxConfirmationAge returns the maximum age of a parent's confirmation while the source answers.
// The first parent of a node below the first level of the tree is another node of the tree, not a
// feeder.
func (s *State) maxConfirmationAge(position distribute.Position, parentIndex int) time.Duration {
	if position.Depth < 2 || parentIndex > 0 {
		return s.set.staleAfter()
	}
	return s.set.staleAfter() + treeQueryInterval*time.Duration(position.Depth-1)
}

// receivesVersions reports whether a node that is no reader receives its versions from others.
func (s *State) receivesVersions() bool { return s.held.Number > 0 || s.noVersion }

// RecordAnswer records the answer of a parent. It reports whether the node has lost contact with
// its parents by this answer, or regained it.
func (s *State) RecordAnswer(now time.Time, parent string, a Answer, view *membership.View) (lost, regained bool) {
	position := s.positionIn(view)
	if a.HasConfirmation && a.Age > s.maxConfirmationAge(position, slices.Index(position.Parents, parent)) {
		return s.RecordUnconfirmed(now, parent, view), false
	}
	c := &s.contact
	c.unconfirmed, c.nextQuery = nil, now.Add(minQueryInterval)
	if !a.HasConfirmation {
		c.nextQuery = now.Add(unconfirmedQueryInterval)
	}
	if c.lost && a.HasConfirmation && a.Reader == s.set.Self {
		c.nextQuery = now.Add(unconfirmedQueryInterval) // the parent only forwards this node's own read
		return false, false
	}
	regained = c.lost
	c.lost = false
	if regained {
		s.failing = false // other nodes read the source again
	}
	return false, regained
}

// RecordUnconfirmed records that a parent did not answer, or that its answer confirms nothing. It
// reports whether no parent is left, so that contact is lost.
func (s *State) RecordUnconfirmed(now time.Time, parent string, view *membership.View) (lost bool) {
	c := &s.contact
	if len(s.positionIn(view).Parents) == 0 {
		c.nextQuery = now.Add(unconfirmedQueryInterval)
		return false
	}
	c.unconfirmed = append(c.unconfirmed, parent)
	for _, id := range s.positionIn(view).Parents {
		if !slices.Contains(c.unconfirmed, id) {
			return false
		}
	}
	lost = !c.lost
	c.unconfirmed, c.lost, c.nextQuery = nil, true, now.Add(unconfirmedQueryInterval)
	return lost
}

// ConfirmsForOthers reports whether other nodes depend on the confirmations of this node, so that
// the source must answer it soon. This is the case for the leading reader, and for a node whose
// parents do not confirm its version.
func (s *State) ConfirmsForOthers(view *membership.View) bool {
	s.positionIn(view)
	return s.contact.lost || s.leads
}

// IsFallbackReader reports whether this node reads the source in place of its feeders.
func (s *State) IsFallbackReader(view *membership.View) bool {
	return s.contact.lost && s.positionIn(view).Depth > 0
}

// PollHold returns how long the source may hold the request that this node sends now.
func (s *State) PollHold(now time.Time, view *membership.View) time.Duration {
	if !s.ConfirmsForOthers(view) {
		return sourceHold
	}
	return max(0, s.set.confirmInterval()-now.Sub(s.answeredAt))
}

// ReportTargets returns the nodes to confirm to after each answer of the source: the feeders, which
// the other nodes query. A reader confirms to the feeders of all data centres.
func (s *State) ReportTargets(view *membership.View) []string {
	if !s.ConfirmsForOthers(view) && !s.reader {
		return nil
	}
	feeders := slices.Clone(s.positionIn(view).Feeders)
	if s.reader {
		feeders = append(feeders, distribute.OtherFeeders(view, s.set.Self, s.set.DataCentre)...)
	}
	return slices.DeleteFunc(feeders, func(id string) bool { return id == s.set.Self })
}

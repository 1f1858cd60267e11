package distribute

import (
	"errors"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// feeding is what the node knows of the platform.
type feeding struct {
	busy     bool // a read is in flight
	after    time.Time
	fails    int
	heldThen uint64         // number held when ReadHead went out
	head     config.Version // newest head that the platform answered
	older    int            // heads older than that answered in a row since
	answered bool           // the platform's last answer fits the history held
	catchUp  time.Time      // when to read what head has more, or zero
	other    otherHead

	askedAt    time.Time      // when the last ReadHead went out
	answeredAt time.Time      // when the last one that was answered went out
	answer     config.Version // its answer
	current    bool           // answer came, and is no older than what was held then

	// The role, for the view it was worked out from.
	view   *membership.View
	feeder bool
	unsure bool // most of the data centre's nodes are suspect
	// rank is the node's place among so many that may be feeders.
	rank, among int

	// standIn says that the read in flight is one in place of the feeders, standInAt how long to leave
	// the platform alone after one that failed, and reported that one was reported.
	standIn   bool
	standInAt time.Time
	reported  bool
}

// otherHead is a head of the platform whose log showed that it is of another history than the version
// held then. The log is not read again for it.
type otherHead struct{ head, held config.Version }

// freshSnapshotAfter is the number of versions above which a node that holds
// nothing reads a snapshot from the platform rather than the deltas.
const freshSnapshotAfter = 16

// olderHeads is how many older heads in a row the platform has to answer before
// the newest one known is given up. One may be a stale read.
const olderHeads = 3

// A starting node that has peers reads the platform's head no earlier than
// startReadAfter, plus a random part of startReadWithin. In a storm nearly all
// learn what they need from peers before that, and the platform is spared.
const (
	startReadAfter  = time.Second
	startReadWithin = 4 * time.Second
)

// Feeder reports whether this node reads the platform's head on a timer.
func (s *State) Feeder() bool { return s.feed.feeder }

func (s *State) scheduleFeed() {
	f := &s.feed
	if !s.ticked && s.others() == 0 {
		// The answer to a join tells a version before it has told the members.
		// A starting node would take itself to be alone then, and a feeder, and
		// read the platform at once, as would each node of a herd.
		return
	}
	if f.view != s.view || s.view == nil {
		s.takeRole()
	}
	if f.after.IsZero() {
		f.after = s.now.Add(s.firstRead())
	}
	if !f.catchUp.IsZero() && !f.busy && !s.now.Before(f.catchUp) {
		f.catchUp = time.Time{}
		if f.head.Newer(s.Version()) {
			s.readSince(f.head)
		}
	}
	if f.busy {
		return
	}
	switch {
	case s.readDue():
		s.readHead(false)
	case s.overdue():
		s.noteStandIn(s.confirmed.Reader == s.set.Self)
		s.readHead(true)
	}
}

// readDue reports whether a node that reads the head on a timer has to read it now. A feeder that
// hears nobody reads for itself alone, and no more often than any other node that is cut off.
func (s *State) readDue() bool {
	f := &s.feed
	starting := !s.start.done || s.jump != nil
	if !starting && (!f.feeder || s.alone() && s.now.Sub(f.askedAt) < s.readsAloneEvery()) {
		return false
	}
	return !s.now.Before(f.after)
}

func (s *State) readHead(standIn bool) {
	f := &s.feed
	f.busy, f.standIn, f.current = true, standIn, false
	f.askedAt = s.now
	f.heldThen = s.Version().Number
	s.emit(ReadHead{})
}

// takeRole works out whether this node is a feeder.
func (s *State) takeRole() {
	f := &s.feed
	f.view = s.view
	var ids []string
	ids, f.unsure = feederChoice(s.view, s.set.Self, s.set.DataCentre)
	f.rank, f.among = slices.Index(ranked("feeder/"+s.set.DataCentre+"/", ids), s.set.Self), len(ids)
	f.feeder = f.rank < feedersPerDC
}

// firstRead returns how long to wait before the first read of the head.
func (s *State) firstRead() time.Duration {
	if s.feed.feeder || s.others() == 0 {
		return 0
	}
	return startReadAfter + s.jitter(startReadWithin)
}

func (s *State) headRead(e HeadRead) {
	f := &s.feed
	f.busy = false
	if e.Err != nil {
		s.readFailed()
		return
	}
	f.fails = 0
	f.after = s.now.Add(s.set.Profile.HeadInterval)
	f.answered = s.chain.relation(e.Version) != relationOther
	f.answeredAt = f.askedAt
	f.answer, f.current = e.Version, e.Version.Number >= f.heldThen
	f.noteHead(e.Version)
	switch {
	case s.chain.relation(e.Version) == relationOther:
		s.conflict(SourcePlatform, e.Version)
	case s.start.done && f.other == otherHead{e.Version, s.Version()}:
		// Reported when its log was read.
	case e.Version.Newer(s.Version()) && f.standIn:
		s.noteStandIn(true)
		s.readSince(e.Version)
	case e.Version.Newer(s.Version()) && s.start.done && !s.alone():
		// The accepting node is most likely telling it right now. Without the
		// wait, every feeder would read it too, and tell it once more.
		f.catchUp = s.now.Add(s.set.Profile.PullDelay / 2)
	case e.Version.Newer(s.Version()):
		s.readSince(e.Version)
	case e.Version.Number < f.heldThen:
		s.report(&StaleHead{Held: s.Version(), Seen: e.Version}, SourcePlatform, e.Version)
	}
}

// noteHead keeps the newest head, so that a stale read does not undo what a
// later version showed. A head that the platform no longer has, as that of a
// table that was restored by mistake and replaced since, would hold a starting
// node back for good; it shows as older heads time after time.
func (f *feeding) noteHead(v config.Version) {
	f.older++
	if v.Newer(f.head) || f.older >= olderHeads {
		f.head = v
	}
	if !f.head.Newer(v) {
		f.older = 0
	}
}

// readSince reads what the platform has and this node has not.
func (s *State) readSince(head config.Version) {
	if j := s.jump; j != nil && j.snapshot.Version() == head {
		j.witnessed = true
		if s.tryJump() || j.from == SourcePlatform {
			return
		}
	}
	s.feed.busy = true
	if s.Version().Number == 0 && head.Number > freshSnapshotAfter {
		s.emit(ReadSnapshot{head})
		return
	}
	s.emit(ReadSince{s.Version()})
}

func (s *State) readFailed() {
	f := &s.feed
	f.fails++
	limit := 4 * s.set.RetryCap
	if f.feeder {
		// A data centre that was cut off from all others hears of the changes
		// since then by its feeders alone, and there are only two of them.
		limit = s.set.RetryCap
	}
	wait := min(s.set.Profile.HeadInterval<<min(f.fails, maxShift), limit)
	f.after = s.now.Add(s.jitter(wait))
	f.answeredAt = time.Time{} // a log that could not be read is asked for again soon
	// Half of the wait is sure, so that a mesh without its platform asks for it seldom.
	wait = min(s.set.RetryCap<<min(f.fails-1, maxShift), confirmWithin) / 2
	f.standInAt = s.now.Add(wait + s.jitter(wait))
}

func (s *State) platformRead(e PlatformRead) {
	f := &s.feed
	f.busy = false
	switch {
	case errors.Is(e.Err, ErrCompacted):
		f.busy = true
		s.emit(ReadSnapshot{f.head})
	case e.Err != nil:
		s.readFailed()
	case e.Snapshot != nil:
		s.platformJump(e.Snapshot)
	default:
		s.readOn(e.Deltas)
	}
}

// readOn applies deltas from the platform, and reads the next ones at once if
// these did not lead to the head: a platform may answer a long log in parts.
func (s *State) readOn(ds []*config.Delta) {
	from := s.Version()
	ok := s.applyDeltas(SourcePlatform, ds)
	if !ok {
		s.noteOtherHead(ds)
		// The log does not lead from what is held to that head. Kept as the
		// newest one known, it would hold a starting node back for good.
		s.feed.head, s.feed.answered = config.Version{}, false
		return
	}
	if s.Version() != from && s.feed.head.Newer(s.Version()) {
		s.feed.busy = true
		s.emit(ReadSince{s.Version()})
	}
}

// noteOtherHead keeps the head whose log is of another history than the version held.
func (s *State) noteOtherHead(ds []*config.Delta) {
	held := s.Version()
	if slices.ContainsFunc(ds, func(d *config.Delta) bool { return d.From.Number == held.Number && d.From != held }) {
		s.feed.other = otherHead{s.feed.head, held}
	}
}

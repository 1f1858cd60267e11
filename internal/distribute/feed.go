package distribute

import (
	"errors"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// platformFeed tracks this node's reads of the platform.
type platformFeed struct {
	reading    bool // a read is in flight
	nextReadAt time.Time
	failures   int
	heldAtRead uint64         // number held when ReadHead was sent
	head       config.Version // newest head read from the platform
	olderInRow int            // older heads read in a row since head
	answered   bool           // the last answer fits the history held
	logReadAt  time.Time      // when to read the log up to head, or zero
	foreign    foreignHead

	sentAt         time.Time      // when the last ReadHead was sent
	answeredSentAt time.Time      // when the last answered ReadHead was sent
	answeredHead   config.Version // the head in that answer
	headCurrent    bool           // answeredHead is no older than the version held at the time

	// The role, and the view from which it was derived.
	view        *membership.View
	feeder      bool
	mostSuspect bool // most of the data centre's nodes are suspect
	// rank is the node's rank among the candidates for feeder.
	rank, candidates int

	// fallback marks the read in flight as a fallback read, fallbackAfter is the earliest time of
	// the next one after a failure, and fallbackReported is set once one has been reported.
	fallback         bool
	fallbackAfter    time.Time
	fallbackReported bool
}

// foreignHead is a platform head whose log showed that it belongs to another history than the
// version held at the time. The log is not read again for it.
type foreignHead struct{ head, held config.Version }

// snapshotThreshold is the number of versions above which a node that holds nothing reads a
// snapshot from the platform rather than the deltas.
const snapshotThreshold = 16

// maxOlderHeads is how many older heads in a row the platform has to return before the newest known
// head is discarded. A single one may be a stale read.
const maxOlderHeads = 3

// A starting node that has peers first reads the platform's head after startReadDelay plus a random
// part of startReadJitter. When many nodes start at once, most get the version from peers before
// that, which spares the platform.
const (
	startReadDelay  = time.Second
	startReadJitter = 4 * time.Second
)

// Feeder reports whether this node reads the platform's head on a timer.
func (s *State) Feeder() bool { return s.feed.feeder }

func (s *State) schedulePlatformRead() {
	f := &s.feed
	if !s.ticked && s.livePeers() == 0 {
		// The answer to a join carries a version before it carries the members. Until then a
		// starting node would consider itself the only node, thus a feeder, and read the platform
		// at once; when many nodes start together, each would do so.
		return
	}
	if f.view != s.view || s.view == nil {
		s.updateRole()
	}
	if f.nextReadAt.IsZero() {
		f.nextReadAt = s.now.Add(s.firstReadDelay())
	}
	if !f.logReadAt.IsZero() && !f.reading && !s.now.Before(f.logReadAt) {
		f.logReadAt = time.Time{}
		if f.head.Newer(s.Version()) {
			s.readSince(f.head)
		}
	}
	if f.reading {
		return
	}
	switch {
	case s.readDue():
		s.readHead(false)
	case s.fallbackReadDue():
		s.reportFallbackRead(s.confirmed.Reader == s.set.Self)
		s.readHead(true)
	}
}

// readDue reports whether a node that reads the head on a timer has to read it now. An isolated
// feeder reads for itself alone, no more often than any other isolated node.
func (s *State) readDue() bool {
	f := &s.feed
	starting := !s.startup.done || s.pending != nil
	if !starting && (!f.feeder || s.isolated() && s.now.Sub(f.sentAt) < s.isolatedReadInterval()) {
		return false
	}
	return !s.now.Before(f.nextReadAt)
}

func (s *State) readHead(fallback bool) {
	f := &s.feed
	f.reading, f.fallback, f.headCurrent = true, fallback, false
	f.sentAt = s.now
	f.heldAtRead = s.Version().Number
	s.emit(ReadHead{})
}

// updateRole determines whether this node is a feeder.
func (s *State) updateRole() {
	f := &s.feed
	f.view = s.view
	var ids []string
	ids, f.mostSuspect = feederCandidates(s.view, s.set.Self, s.set.DataCentre)
	f.rank, f.candidates = slices.Index(ranked("feeder/"+s.set.DataCentre+"/", ids), s.set.Self), len(ids)
	f.feeder = f.rank < feedersPerDC
}

// firstReadDelay returns how long to wait before the first read of the head.
func (s *State) firstReadDelay() time.Duration {
	if s.feed.feeder || s.livePeers() == 0 {
		return 0
	}
	return startReadDelay + s.jitter(startReadJitter)
}

func (s *State) headRead(e HeadRead) {
	f := &s.feed
	f.reading = false
	if e.Err != nil {
		s.readFailed()
		return
	}
	f.failures = 0
	f.nextReadAt = s.now.Add(s.set.Profile.HeadInterval)
	f.answered = s.chain.relation(e.Version) != relationOther
	f.answeredSentAt = f.sentAt
	f.answeredHead, f.headCurrent = e.Version, e.Version.Number >= f.heldAtRead
	f.recordHead(e.Version)
	switch {
	case s.chain.relation(e.Version) == relationOther:
		s.recordConflict(SourcePlatform, e.Version)
	case s.startup.done && f.foreign == foreignHead{e.Version, s.Version()}:
		// Reported when its log was read.
	case e.Version.Newer(s.Version()) && f.fallback:
		s.reportFallbackRead(true)
		s.readSince(e.Version)
	case e.Version.Newer(s.Version()) && s.startup.done && !s.isolated():
		// The accepting node is probably pushing this version already. Without the delay every
		// feeder would read it as well and push it again.
		f.logReadAt = s.now.Add(s.set.Profile.PullDelay / 2)
	case e.Version.Newer(s.Version()):
		s.readSince(e.Version)
	case e.Version.Number < f.heldAtRead:
		s.report(&StaleHead{Held: s.Version(), Seen: e.Version}, SourcePlatform, e.Version)
	}
}

// recordHead keeps the newest head, so that a stale read does not hide a version seen before. A
// head that the platform no longer has, such as that of a table restored by mistake and since
// replaced, would block a starting node for good; it is detected by several older heads in a row.
func (f *platformFeed) recordHead(v config.Version) {
	f.olderInRow++
	if v.Newer(f.head) || f.olderInRow >= maxOlderHeads {
		f.head = v
	}
	if !f.head.Newer(v) {
		f.olderInRow = 0
	}
}

// readSince reads the versions up to head that this node lacks from the platform.
func (s *State) readSince(head config.Version) {
	if ps := s.pending; ps != nil && ps.snapshot.Version() == head {
		ps.witnessed = true
		if s.applyPendingIfProven() || ps.source == SourcePlatform {
			return
		}
	}
	s.feed.reading = true
	if s.Version().Number == 0 && head.Number > snapshotThreshold {
		s.emit(ReadSnapshot{head})
		return
	}
	s.emit(ReadSince{s.Version()})
}

func (s *State) readFailed() {
	f := &s.feed
	f.failures++
	limit := 4 * s.set.RetryCap
	if f.feeder {
		// A partitioned data centre learns of changes through its feeders alone, and there are only
		// two.
		limit = s.set.RetryCap
	}
	wait := min(s.set.Profile.HeadInterval<<min(f.failures, maxShift), limit)
	f.nextReadAt = s.now.Add(s.jitter(wait))
	f.answeredSentAt = time.Time{} // retry soon when the log could not be read
	// Half of the wait is fixed, so that the reads of a whole mesh stay rare while the platform is
	// down.
	wait = min(s.set.RetryCap<<min(f.failures-1, maxShift), confirmWithin) / 2
	f.fallbackAfter = s.now.Add(wait + s.jitter(wait))
}

func (s *State) platformRead(e PlatformRead) {
	f := &s.feed
	f.reading = false
	switch {
	case errors.Is(e.Err, ErrCompacted):
		f.reading = true
		s.emit(ReadSnapshot{f.head})
	case e.Err != nil:
		s.readFailed()
	case e.Snapshot != nil:
		s.receivePlatformSnapshot(e.Snapshot)
	default:
		s.applyPlatformDeltas(e.Deltas)
	}
}

// applyPlatformDeltas applies deltas from the platform. If they did not reach the head, it reads
// the next ones at once: the platform may return a long log in parts.
func (s *State) applyPlatformDeltas(ds []*config.Delta) {
	from := s.Version()
	ok := s.applyDeltas(SourcePlatform, ds)
	if !ok {
		s.recordForeignHead(ds)
		// The log does not lead from the version held to that head. Kept as the newest known head,
		// it would block a starting node for good.
		s.feed.head, s.feed.answered = config.Version{}, false
		return
	}
	if s.Version() != from && s.feed.head.Newer(s.Version()) {
		s.feed.reading = true
		s.emit(ReadSince{s.Version()})
	}
}

// recordForeignHead records the head if its log belongs to another history than the version held.
func (s *State) recordForeignHead(ds []*config.Delta) {
	held := s.Version()
	if slices.ContainsFunc(ds, func(d *config.Delta) bool { return d.From.Number == held.Number && d.From != held }) {
		s.feed.foreign = foreignHead{s.feed.head, held}
	}
}

package membership

import (
	"errors"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// ErrRecordTooLarge is given for a change to the own record that is over a limit.
var ErrRecordTooLarge = errors.New("membership: the record would be over a limit")

// own is what this node keeps of its own record.
type own struct {
	dirty      bool // a lazy change waits
	push       bool // the next raise is told at once
	nextRaise  time.Time
	urgent     bool
	superseded time.Time
	joinedAt   time.Time
	met        map[string]struct{} // data centres ever known
	metAt      time.Time           // when the last of them became known
}

// ConfigStatus is what SetConfigStatus tells of the configuration in force.
type ConfigStatus struct {
	Version        uint64
	Hash           [8]byte
	RefusedVersion uint64
	RefusedReason  string
}

func (s *State) linkOwn() {
	s.home.hash ^= hashStamp(s.key, s.self.stamp())
	s.home.idset ^= hashStamp(s.key, stamp{s.self.VM.Incarnation, 0})
}

// changeOwn is the only place that raises the own record.
func (s *State) changeOwn(incarnation uint64, urgent bool) {
	s.linkOwn() // the digest is a sum by XOR: linking twice unlinks
	if incarnation > s.self.VM.Incarnation {
		s.self.VM.Incarnation = incarnation
	}
	s.self.Sequence++
	s.linkOwn()
	urgent = urgent || s.own.push
	s.own.dirty, s.own.push = false, false
	s.own.nextRaise = s.now.Add(s.cfg.RecordUpdateEvery)
	s.viewDirty = true
	s.heatOwn(urgent)
}

func (s *State) heatOwn(urgent bool) {
	s.hotOwn = s.spread()
	s.own.urgent = s.own.urgent || urgent
}

// SetBackends replaces the backend servers beside this node. Taking one out of
// service is told at once; the rest waits for the next messages.
func (s *State) SetBackends(now time.Time, list []Backend) error {
	s.advance(now)
	if err := s.fits(Record{Backends: list}); err != nil {
		return err
	}
	if slices.Equal(list, s.self.Backends) {
		return nil
	}
	urgent := lessServed(s.self.Backends, list)
	s.self.Backends = slices.Clone(list)
	s.own.push = s.own.push || s.cfg.PushAllChanges
	s.changed(urgent)
	return nil
}

// lessServed tells whether a backend server that was ready no longer is.
func lessServed(before, after []Backend) bool {
	for _, b := range before {
		ready := func(a Backend) bool {
			return a.Service == b.Service && a.Instance == b.Instance && a.State == BackendReady
		}
		if b.State == BackendReady && !slices.ContainsFunc(after, ready) {
			return true
		}
	}
	return false
}

// SetNotices replaces the notices of this node; they are told at once.
func (s *State) SetNotices(now time.Time, list []Notice) error {
	s.advance(now)
	if err := s.fits(Record{Notices: list}); err != nil {
		return err
	}
	if !slices.Equal(list, s.self.Notices) {
		s.self.Notices = slices.Clone(list)
		s.changed(true)
	}
	return nil
}

// SetConfigStatus tells which version is in force here. The version alone raises no
// sequence: it rides on messages as one bit a node (see Held). A refusal is
// rare and goes into the record.
func (s *State) SetConfigStatus(now time.Time, a ConfigStatus) {
	s.advance(now)
	refused := a.RefusedVersion != s.self.RefusedVersion || a.RefusedReason != s.self.RefusedReason
	if a.Version != s.self.AppliedVersion {
		s.heatHeld()
	}
	s.self.AppliedVersion, s.self.AppliedHash = a.Version, a.Hash
	s.self.RefusedVersion = a.RefusedVersion
	s.self.RefusedReason = a.RefusedReason[:min(len(a.RefusedReason), s.cfg.Limits.StringBytes)]
	s.heldDirty = true
	if refused {
		s.changed(false)
	}
}

// Leave says that this node leaves the mesh; it is told at once. The node may
// go on answering until its calls are done.
func (s *State) Leave(now time.Time) {
	s.advance(now)
	if s.self.State == VMLeaving {
		return
	}
	s.self.State = VMLeaving
	s.home.bridges = nil
	s.changed(true)
}

func (s *State) fits(r Record) error {
	r.VM, r.State = s.self.VM, VMAlive
	if !s.cfg.Limits.allowed(encodeRecord(&r)) {
		s.stats.Refused++
		return ErrRecordTooLarge
	}
	return nil
}

// changed raises the record at once or, for a lazy change, at most every
// RecordUpdateEvery, so that a flapping backend server costs a bounded number of
// updates.
func (s *State) changed(urgent bool) {
	if urgent || !s.now.Before(s.own.nextRaise) {
		s.changeOwn(0, urgent)
		return
	}
	s.own.dirty = true
	s.viewDirty = true
}

func (s *State) tickOwn() {
	keep := slices.DeleteFunc(slices.Clone(s.self.Notices), func(n Notice) bool { return n.Expires <= s.now.UnixMilli() })
	if len(keep) != len(s.self.Notices) {
		s.self.Notices = keep
		s.own.dirty = true
	}
	// Others drop a leaving record after LeavingRetention; say that we live on.
	stay := s.self.State == VMLeaving && s.now.Sub(s.own.nextRaise) > s.cfg.LeavingRetention/2
	if (s.own.dirty || stay) && !s.now.Before(s.own.nextRaise) && s.own.superseded.IsZero() {
		s.changeOwn(0, false)
	}
}

// acceptOwn takes a record under this node's ID. A higher one that we did not
// make is either our own from before the restart, or that of another process
// that claims the ID. For the first minute after joining it is taken for the
// former, and we go above it; see young. After that it is a process that started later:
// it wins, since a replaced VM must, and this one reports itself superseded
// and raises its record no more. Both going on would raise each other without
// end.
func (s *State) acceptOwn(p *peerpb.Record) {
	st := stamp{p.GetIncarnation(), p.GetSequence()}
	if !st.newer(s.self.stamp()) {
		return
	}
	if s.young() {
		s.changeOwn(st.incarnation+1, false)
		return
	}
	s.stats.DuplicateIDs++
	if st.incarnation == s.self.VM.Incarnation {
		// Started in the same millisecond: part the two by chance.
		s.changeOwn(st.incarnation+1+s.rnd.Uint64N(1000), false)
		return
	}
	if s.own.superseded.IsZero() {
		s.own.superseded = s.now
	}
}

// young tells whether what is said of this node may still be about an earlier
// process under its ID.
//
// That lasts for a while after the join, and again after another data centre
// became known for the first time. Where a whole data centre starts anew while
// it is cut off, only the others remember its former processes, and only after
// the cut do they say so. Had those had faster clocks, each node would take its
// own past for a later process and carry no traffic any more.
func (s *State) young() bool {
	recent := func(at time.Time) bool { return s.now.Sub(at) < s.cfg.LeavingRetention }
	return !s.joined || recent(s.own.joinedAt) || recent(s.own.metAt)
}

// meet notes that a data centre is known. Where the same message told the own
// record before it told of the data centre, it was judged too early; it is told
// again.
func (s *State) meet(name string) {
	if _, known := s.own.met[name]; known || len(s.own.met) >= maxDigest {
		return
	}
	s.own.met[name] = struct{}{}
	s.own.metAt = s.now
	if s.own.superseded.Equal(s.now) {
		s.own.superseded = time.Time{}
	}
}

// Superseded tells since when another process is known to claim this node's
// ID with a later start. The node should stop.
func (s *State) Superseded() (time.Time, bool) {
	return s.own.superseded, !s.own.superseded.IsZero()
}

// refute answers a claim about this node by a higher record.
//
// A claim of a higher incarnation is about an earlier process under this ID
// whose clock was ahead of this one's. Once that process is buried, its record
// is told no more, so acceptOwn never hears of it: the claim is all that shows
// what to go above. Unanswered, nobody would believe this node until the
// tombstones of the former one expire.
func (s *State) refute(about stamp) {
	if about.incarnation > s.self.VM.Incarnation && s.young() {
		s.stats.Refutations++
		s.changeOwn(about.incarnation+1, true)
		return
	}
	if about.incarnation != s.self.VM.Incarnation || s.self.stamp().newer(about) || !s.own.superseded.IsZero() {
		return
	}
	s.stats.Refutations++
	if about.sequence > s.self.Sequence {
		s.stats.Refused++ // nobody but us makes sequences
		return
	}
	s.changeOwn(0, true)
}

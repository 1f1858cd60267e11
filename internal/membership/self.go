package membership

import (
	"errors"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// ErrRecordTooLarge reports a change to this node's record that exceeds a limit.
var ErrRecordTooLarge = errors.New("membership: the record exceeds a limit")

// ownRecord is the publishing state of this node's own record.
type ownRecord struct {
	changePending bool // a non-urgent change is waiting
	pushPending   bool // the next publication is urgent
	nextUpdate    time.Time
	urgent        bool
	supersededAt  time.Time
	joinedAt      time.Time
	knownCentres  map[string]struct{} // data centres known since the start
	newCentreAt   time.Time           // when the latest of them was added
}

// ConfigStatus is the configuration in force at this node and the newest
// version that it could not apply.
type ConfigStatus struct {
	Version        uint64
	Hash           [8]byte
	RefusedVersion uint64
	RefusedReason  string
}

// toggleOwnHash adds the own record to the digest of the home data centre, or removes it again:
// the digest combines hashes by XOR.
func (s *State) toggleOwnHash() {
	s.home.hash ^= hashStamp(s.key, s.self.stamp())
	s.home.idset ^= hashStamp(s.key, stamp{s.self.VM.Incarnation, 0})
}

// publishOwn increases the sequence of the own record and queues it for gossip.
// Nothing else changes the sequence.
func (s *State) publishOwn(incarnation uint64, urgent bool) {
	s.toggleOwnHash()
	if incarnation > s.self.VM.Incarnation {
		s.self.VM.Incarnation = incarnation
	}
	s.self.Sequence++
	s.toggleOwnHash()
	urgent = urgent || s.own.pushPending
	s.own.changePending, s.own.pushPending = false, false
	s.own.nextUpdate = s.now.Add(s.cfg.RecordUpdateEvery)
	s.viewDirty = true
	s.queueOwn(urgent)
}

// queueOwn queues the own record for the next messages, and for a push if urgent.
func (s *State) queueOwn(urgent bool) {
	s.ownSends = s.retransmitLimit()
	s.own.urgent = s.own.urgent || urgent
}

// SetBackends replaces this node's backend servers. Taking a ready one out of
// service is pushed at once; other changes ride on the next messages unless
// Config.PushAllChanges is set. It returns ErrRecordTooLarge over a limit.
func (s *State) SetBackends(now time.Time, list []Backend) error {
	s.advance(now)
	if err := s.checkOwnLimits(Record{Backends: list}); err != nil {
		return err
	}
	if slices.Equal(list, s.self.Backends) {
		return nil
	}
	urgent := removesReadyBackend(s.self.Backends, list)
	s.self.Backends = slices.Clone(list)
	s.own.pushPending = s.own.pushPending || s.cfg.PushAllChanges
	s.ownChanged(urgent)
	return nil
}

// removesReadyBackend reports whether a backend server that was ready no longer is.
func removesReadyBackend(before, after []Backend) bool {
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

// SetNotices replaces the notices of this node and pushes them at once. It
// returns ErrRecordTooLarge over a limit.
func (s *State) SetNotices(now time.Time, list []Notice) error {
	s.advance(now)
	if err := s.checkOwnLimits(Record{Notices: list}); err != nil {
		return err
	}
	if !slices.Equal(list, s.self.Notices) {
		s.self.Notices = slices.Clone(list)
		s.ownChanged(true)
	}
	return nil
}

// SetConfigStatus sets the configuration version in force at this node. The
// version alone does not increase the sequence: it is gossiped as one bit per
// node (see encodeHeld). A refusal is rare and goes into the record.
func (s *State) SetConfigStatus(now time.Time, a ConfigStatus) {
	s.advance(now)
	refused := a.RefusedVersion != s.self.RefusedVersion || a.RefusedReason != s.self.RefusedReason
	if a.Version != s.self.AppliedVersion {
		s.queueHeld()
	}
	s.self.AppliedVersion, s.self.AppliedHash = a.Version, a.Hash
	s.self.RefusedVersion = a.RefusedVersion
	s.self.RefusedReason = a.RefusedReason[:min(len(a.RefusedReason), s.cfg.Limits.StringBytes)]
	s.heldDirty = true
	if refused {
		s.ownChanged(false)
	}
}

// Leave marks this node as leaving and pushes that at once. The node may go on
// answering until its calls are done.
func (s *State) Leave(now time.Time) {
	s.advance(now)
	if s.self.State == VMLeaving {
		return
	}
	s.self.State = VMLeaving
	s.home.bridges = nil
	s.ownChanged(true)
}

func (s *State) checkOwnLimits(r Record) error {
	r.VM, r.State = s.self.VM, VMAlive
	if !s.cfg.Limits.validRecord(encodeRecord(&r)) {
		s.stats.Refused++
		return ErrRecordTooLarge
	}
	return nil
}

// ownChanged publishes an urgent change at once and any other change at most
// every RecordUpdateEvery, which bounds the updates caused by a flapping backend
// server.
func (s *State) ownChanged(urgent bool) {
	if urgent || !s.now.Before(s.own.nextUpdate) {
		s.publishOwn(0, urgent)
		return
	}
	s.own.changePending = true
	s.viewDirty = true
}

func (s *State) tickOwn() {
	unexpired := slices.DeleteFunc(slices.Clone(s.self.Notices), func(n Notice) bool { return n.Expires <= s.now.UnixMilli() })
	if len(unexpired) != len(s.self.Notices) {
		s.self.Notices = unexpired
		s.own.changePending = true
	}
	// Peers drop a leaving record after LeavingRetention, so it is republished in time.
	refreshLeaving := s.self.State == VMLeaving && s.now.Sub(s.own.nextUpdate) > s.cfg.LeavingRetention/2
	if (s.own.changePending || refreshLeaving) && !s.now.Before(s.own.nextUpdate) && s.own.supersededAt.IsZero() {
		s.publishOwn(0, false)
	}
}

// acceptOwn handles a record under this node's own ID. A higher one that this process did not
// publish comes either from before its restart or from another process that uses the ID. While
// mayBePredecessor holds it is taken for the former, and this node publishes a higher one. Later
// it is taken for a process that started after this one. That process wins, as the replacement
// of a VM must; this one reports itself superseded and stops publishing, since two processes
// that outbid each other would never stop.
func (s *State) acceptOwn(p *peerpb.Record) {
	st := stamp{p.GetIncarnation(), p.GetSequence()}
	if !st.newer(s.self.stamp()) {
		return
	}
	if s.mayBePredecessor() {
		s.publishOwn(st.incarnation+1, false)
		return
	}
	s.stats.DuplicateIDs++
	if st.incarnation == s.self.VM.Incarnation {
		// Both started in the same millisecond: break the tie at random.
		s.publishOwn(st.incarnation+1+s.rnd.Uint64N(1000), false)
		return
	}
	if s.own.supersededAt.IsZero() {
		s.own.supersededAt = s.now
	}
}

// mayBePredecessor reports whether a record or claim about this node may still refer to an
// earlier process under its ID.
//
// That holds for a while after the join, and again after a data centre becomes known for the
// first time. If a whole data centre restarts while partitioned, only the other data centres
// remember its former processes, and they report them only after the partition heals. If the
// former clocks were ahead, each node would otherwise take its predecessor for a later process
// and carry no more traffic.
func (s *State) mayBePredecessor() bool {
	recent := func(at time.Time) bool { return s.now.Sub(at) < s.cfg.LeavingRetention }
	return !s.joined || recent(s.own.joinedAt) || recent(s.own.newCentreAt)
}

// noteCentre records that a data centre is known. If a record under this node's ID stood before
// the first record of that data centre in the same message, this node marked itself superseded
// too early; that is undone.
func (s *State) noteCentre(name string) {
	if _, known := s.own.knownCentres[name]; known || len(s.own.knownCentres) >= maxDigestCentres {
		return
	}
	s.own.knownCentres[name] = struct{}{}
	s.own.newCentreAt = s.now
	if s.own.supersededAt.Equal(s.now) {
		s.own.supersededAt = time.Time{}
	}
}

// Superseded reports whether another process with a later start uses this node's
// ID, and since when that is known. The node should stop then.
func (s *State) Superseded() (time.Time, bool) {
	return s.own.supersededAt, !s.own.supersededAt.IsZero()
}

// refute answers a claim about this node by publishing a higher record.
//
// A claim of a higher incarnation refers to an earlier process under this ID
// whose clock was ahead. Once that process is declared dead, its record is no
// longer sent, so acceptOwn never sees it; only the claim shows which
// incarnation to exceed. Without an answer, peers would ignore this node until
// the tombstones of the earlier process expire.
func (s *State) refute(about stamp) {
	if about.incarnation > s.self.VM.Incarnation && s.mayBePredecessor() {
		s.stats.Refutations++
		s.publishOwn(about.incarnation+1, true)
		return
	}
	if about.incarnation != s.self.VM.Incarnation || s.self.stamp().newer(about) || !s.own.supersededAt.IsZero() {
		return
	}
	s.stats.Refutations++
	if about.sequence > s.self.Sequence {
		s.stats.Refused++ // forged: only this node increases its sequence
		return
	}
	s.publishOwn(0, true)
}

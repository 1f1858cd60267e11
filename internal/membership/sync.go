package membership

import (
	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// buckets is the number of parts into which a sync divides the records of a data centre, by the
// highest bits of their keys.
const buckets = 32

const bucketShift = 64 - 5

// minDifferingExchanges is the number of consecutive exchanges with different digests before a
// sync starts: changes in transit make digests differ briefly all the time.
const minDifferingExchanges = 2

// compareDigests counts the consecutive exchanges with a peer in which digests differed, and
// starts a sync if the difference lasts.
func (s *State) compareDigests(peer *entry, m *peerpb.Membership) {
	if peer == nil {
		return
	}
	diff := s.differingCentres(m.GetDigest())
	if len(diff) == 0 {
		peer.differing = 0
		return
	}
	peer.differing++
	threshold, every := minDifferingExchanges, s.cfg.SyncEvery
	joinedRecently := s.now.Sub(s.own.joinedAt) < s.cfg.LeavingRetention
	if joinedRecently {
		// After a join, perhaps together with a whole data centre, this node
		// lacks more than the changes in transit.
		threshold, every = 1, every/5
	}
	if peer.differing < threshold || s.now.Before(s.nextSync) {
		return
	}
	s.nextSync = s.now.Add(every)
	if !joinedRecently {
		s.startSync(peer, diff[s.rnd.IntN(len(diff))])
		return
	}
	// A node that joined through one that had just started too may lack whole
	// data centres.
	for _, key := range diff {
		s.startSync(peer, key)
	}
}

func (s *State) startSync(peer *entry, key uint32) {
	s.stats.Syncs++
	m := &peerpb.Membership{
		Kind:       peerpb.Kind_KIND_SYNC,
		DataCentre: key,
		Buckets:    s.bucketHashes(s.centreByKey[key]),
	}
	id := s.send(peer, m, s.scaleTimeout(s.cfg.ProbeTimeout))
	p := s.pending[id]
	p.syncCentre = key
	s.pending[id] = p
}

func (s *State) bucketHashes(c *centre) []uint64 {
	out := make([]uint64, buckets)
	s.forEachStamp(c, func(key uint64, st stamp) {
		out[key>>bucketShift] ^= hashStamp(key, st)
	})
	return out
}

// answerSync answers the first step of a sync with the stamps of the buckets that differ, and
// the second step with the requested records.
func (s *State) answerSync(m, ans *peerpb.Membership) {
	if len(m.GetBuckets()) == buckets {
		s.answerBuckets(m, ans)
	}
	budget := s.cfg.SyncBytes
	for _, key := range m.GetWant() {
		budget = s.appendRecord(ans, key, budget)
	}
}

func (s *State) answerBuckets(m, ans *peerpb.Membership) {
	ans.DataCentre = m.GetDataCentre()
	c := s.centreByKey[m.GetDataCentre()]
	ans.Buckets = s.bucketHashes(c)
	add := func(key uint64, st stamp) {
		if b := key >> bucketShift; ans.Buckets[b] != m.GetBuckets()[b] {
			ans.Stamps = append(ans.Stamps, &peerpb.Stamp{Key: key, Incarnation: st.incarnation, Sequence: st.sequence})
		}
	}
	s.forEachStamp(c, add)
}

// continueSync compares the peer's stamps with the own ones: it requests records that are newer
// there, and sends those that are newer here.
func (s *State) continueSync(peer *entry, key uint32, m *peerpb.Membership) {
	if len(m.GetBuckets()) != buckets || peer == nil || m.GetDataCentre() != key {
		return
	}
	c := s.centreByKey[key]
	out := &peerpb.Membership{Kind: peerpb.Kind_KIND_SYNC}
	theirs := make(map[uint64]stamp, len(m.GetStamps()))
	for _, p := range m.GetStamps() {
		st := stamp{p.GetIncarnation(), p.GetSequence()}
		theirs[p.GetKey()] = st
		s.requestIfNewer(out, p.GetKey(), st)
	}
	mine := s.bucketHashes(c)
	budget := s.cfg.SyncBytes
	add := func(key uint64, st stamp) {
		b := key >> bucketShift
		other, known := theirs[key]
		if mine[b] != m.GetBuckets()[b] && (!known || st.newer(other)) && budget > 0 {
			budget = s.appendRecord(out, key, budget)
		}
	}
	s.forEachStamp(c, add)
	s.appendDeadReplies(out)
	if proto.Size(out) > 2 {
		s.send(peer, out, s.scaleTimeout(s.cfg.ProbeTimeout))
	}
}

// forEachStamp calls f for every live record of a data centre; c may be nil.
func (s *State) forEachStamp(c *centre, f func(key uint64, st stamp)) {
	if c == nil {
		return
	}
	s.forEachMember(c, func(_ int, e *entry) {
		if e == nil {
			f(s.key, s.self.stamp())
			return
		}
		f(e.key, e.rec.stamp())
	})
}

func (s *State) requestIfNewer(out *peerpb.Membership, key uint64, st stamp) {
	if key == s.key {
		return
	}
	e := s.byKey[key]
	switch {
	case e == nil:
		out.Want = append(out.Want, key)
	case e.dead && !st.newer(e.tombstone):
		s.queueDeadReply(e)
	case e.dead || st.newer(e.rec.stamp()):
		out.Want = append(out.Want, key)
	}
}

// syncAfterPause syncs with a few neighbours to catch up after this process was paused.
func (s *State) syncAfterPause() {
	const syncPeers = 3
	for _, e := range shuffled(s, s.peers(), syncPeers) {
		s.startSync(e, s.home.key)
	}
}

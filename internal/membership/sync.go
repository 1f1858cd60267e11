package membership

import (
	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// buckets is the number of parts into which a sync divides a data centre's
// records, by the highest bits of their keys.
const buckets = 32

const bucketShift = 64 - 5

// patientDifferences is how many exchanges in a row have to differ before a
// sync: changes on their way make digests differ for a moment all the time.
const patientDifferences = 2

// compare notes whether an answer showed a difference and repairs a lasting
// one.
func (s *State) compare(peer *entry, m *peerpb.Membership) {
	if peer == nil {
		return
	}
	diff := s.differs(m.GetDigest())
	if len(diff) == 0 {
		peer.different = 0
		return
	}
	peer.different++
	patience, every := patientDifferences, s.cfg.SyncEvery
	young := s.now.Sub(s.own.joinedAt) < s.cfg.LeavingRetention
	if young {
		// Just joined, perhaps along with a whole data centre, this node
		// lacks more than what is on its way.
		patience, every = 1, every/5
	}
	if peer.different < patience || s.now.Before(s.nextSync) {
		return
	}
	s.nextSync = s.now.Add(every)
	if !young {
		s.openSync(peer, diff[s.rnd.IntN(len(diff))])
		return
	}
	// One that a node of the same herd let in may lack whole data centres.
	for _, key := range diff {
		s.openSync(peer, key)
	}
}

func (s *State) openSync(peer *entry, key uint32) {
	s.stats.Syncs++
	m := &peerpb.Membership{
		Kind:       peerpb.Kind_KIND_SYNC,
		DataCentre: key,
		Buckets:    s.bucketHashes(s.byCentre[key]),
	}
	id := s.send(peer, m, s.patience(s.cfg.ProbeTimeout))
	p := s.pending[id]
	p.syncing = key
	s.pending[id] = p
}

func (s *State) bucketHashes(c *centre) []uint64 {
	out := make([]uint64, buckets)
	s.stamps(c, func(key uint64, st stamp) {
		out[key>>bucketShift] ^= hashStamp(key, st)
	})
	return out
}

// answerSync answers the first step of a sync with the stamps of the buckets
// that differ, and the second one with the records asked for.
func (s *State) answerSync(m, ans *peerpb.Membership) {
	if len(m.GetBuckets()) == buckets {
		s.answerBuckets(m, ans)
	}
	budget := s.cfg.SyncBytes
	for _, key := range m.GetWant() {
		budget = s.addByKey(ans, key, budget)
	}
}

func (s *State) answerBuckets(m, ans *peerpb.Membership) {
	ans.DataCentre = m.GetDataCentre()
	c := s.byCentre[m.GetDataCentre()]
	ans.Buckets = s.bucketHashes(c)
	add := func(key uint64, st stamp) {
		if b := key >> bucketShift; ans.Buckets[b] != m.GetBuckets()[b] {
			ans.Stamps = append(ans.Stamps, &peerpb.Stamp{Key: key, Incarnation: st.incarnation, Sequence: st.sequence})
		}
	}
	s.stamps(c, add)
}

// continueSync takes the stamps of the other side: it asks for what is newer
// there, and sends what is newer here.
func (s *State) continueSync(peer *entry, key uint32, m *peerpb.Membership) {
	if len(m.GetBuckets()) != buckets || peer == nil || m.GetDataCentre() != key {
		return
	}
	c := s.byCentre[key]
	out := &peerpb.Membership{Kind: peerpb.Kind_KIND_SYNC}
	theirs := make(map[uint64]stamp, len(m.GetStamps()))
	for _, p := range m.GetStamps() {
		st := stamp{p.GetIncarnation(), p.GetSequence()}
		theirs[p.GetKey()] = st
		s.wantNewer(out, p.GetKey(), st)
	}
	mine := s.bucketHashes(c)
	budget := s.cfg.SyncBytes
	add := func(key uint64, st stamp) {
		b := key >> bucketShift
		other, known := theirs[key]
		if mine[b] != m.GetBuckets()[b] && (!known || st.newer(other)) && budget > 0 {
			budget = s.addByKey(out, key, budget)
		}
	}
	s.stamps(c, add)
	s.tellDead(out)
	if proto.Size(out) > 2 {
		s.send(peer, out, s.patience(s.cfg.ProbeTimeout))
	}
}

// stamps calls f for every live record of a data centre, which may be unknown.
func (s *State) stamps(c *centre, f func(key uint64, st stamp)) {
	if c == nil {
		return
	}
	s.ordered(c, func(_ int, e *entry) {
		if e == nil {
			f(s.key, s.self.stamp())
			return
		}
		f(e.key, e.rec.stamp())
	})
}

func (s *State) wantNewer(out *peerpb.Membership, key uint64, st stamp) {
	if key == s.key {
		return
	}
	e := s.byKey[key]
	switch {
	case e == nil:
		out.Want = append(out.Want, key)
	case e.dead && !st.newer(e.tombstone):
		s.answerDead(e)
	case e.dead || st.newer(e.rec.stamp()):
		out.Want = append(out.Want, key)
	}
}

// refresh asks a few neighbours what happened while this process was paused.
func (s *State) refresh() {
	const asked = 3
	for _, e := range shuffled(s, s.peers(), asked) {
		s.openSync(e, s.home.key)
	}
}

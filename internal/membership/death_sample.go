package membership

import (
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// healthSample is a sample of the home data centre, probed before a death is declared.
//
// It guards against a partition, or the loss of most of a data centre, that looks like the death
// of single nodes: their endpoints would be dropped although they may be reachable for calls or
// come back unchanged. Counting suspects does not detect this, because probes find the silent
// nodes one after the other, and the first suspicion times out before the last is raised. A
// fresh sample of the nodes that are not suspected does.
type healthSample struct {
	pending   map[uint64]struct{}
	probed    int
	answered  int
	startedAt time.Time
}

// sampleTTL is how long a sample is valid.
const sampleTTL = 5 * time.Second

// mayDeclareDead reports whether more than half of the home data centre is alive. The first call
// starts a sample and returns false.
func (s *State) mayDeclareDead() bool {
	if s.halfSuspected(s.home) {
		return false
	}
	r := &s.sample
	age := s.now.Sub(r.startedAt)
	if r.startedAt.IsZero() || age > s.cfg.DeathSampleEvery || (age > sampleTTL && s.sampleShowsMajorityAlive()) {
		s.startSample()
		return false
	}
	return len(r.pending) == 0 && age <= sampleTTL && s.sampleShowsMajorityAlive()
}

// sampleShowsMajorityAlive extrapolates the sample: the share that answered stands for all nodes
// that are not suspected.
func (s *State) sampleShowsMajorityAlive() bool {
	r := &s.sample
	if r.probed == 0 {
		return false
	}
	total := s.home.live + 1
	unsuspected := total - 1 - s.home.suspects
	alive := 1 + float64(unsuspected)*float64(r.answered)/float64(r.probed)
	return 2*alive > float64(total)
}

func (s *State) startSample() {
	var list []*entry
	for _, e := range s.sortedMembers(s.home) {
		if e.suspicion == nil && e.rec.State == VMAlive {
			list = append(list, e)
		}
	}
	s.sample = healthSample{pending: map[uint64]struct{}{}, startedAt: s.now}
	for _, e := range shuffled(s, list, s.cfg.DeathSampleSize) {
		m := &peerpb.Membership{Kind: peerpb.Kind_KIND_PROBE}
		id := s.send(e, m, s.cfg.ProbeTimeout)
		s.sample.pending[id] = struct{}{}
		s.sample.probed++
	}
}

func (s *State) recordSampleResult(id uint64, answered bool) {
	if _, ok := s.sample.pending[id]; !ok {
		return
	}
	delete(s.sample.pending, id)
	if answered {
		s.sample.answered++
	}
}

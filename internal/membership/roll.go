package membership

import (
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// rollCall is a sample of the own data centre, taken before a death is declared.
//
// It guards against a cut of the network, or the loss of most of a data centre,
// that looks like the death of single nodes: their endpoints would be forgotten
// although they may be reachable for calls, or come back unchanged. Counting
// suspects does not show it, as probes find the silent nodes one after the
// other, and the first is due before the last is found. A fresh sample of the
// nodes that nobody suspects yet does show it.
type rollCall struct {
	waiting  map[uint64]struct{}
	asked    int
	answered int
	begun    time.Time
}

// rollFresh is how long a sample counts.
const rollFresh = 5 * time.Second

// mayDeclareDead tells whether more than half of the own data centre is well. It
// takes a sample first, so at first it says no.
func (s *State) mayDeclareDead() bool {
	if s.mostSuspected(s.home) {
		return false
	}
	r := &s.roll
	age := s.now.Sub(r.begun)
	if r.begun.IsZero() || age > s.cfg.DeathSampleEvery || (age > rollFresh && s.mostWell()) {
		s.startRollCall()
		return false
	}
	return len(r.waiting) == 0 && age <= rollFresh && s.mostWell()
}

// mostWell judges the sample: the share that answered stands for all nodes
// that are not suspected.
func (s *State) mostWell() bool {
	r := &s.roll
	if r.asked == 0 {
		return false
	}
	known := s.home.live + 1
	open := known - 1 - s.home.suspects
	well := 1 + float64(open)*float64(r.answered)/float64(r.asked)
	return 2*well > float64(known)
}

func (s *State) startRollCall() {
	var list []*entry
	for _, e := range s.order(s.home) {
		if e.suspicion == nil && e.rec.State == VMAlive {
			list = append(list, e)
		}
	}
	s.roll = rollCall{waiting: map[uint64]struct{}{}, begun: s.now}
	for _, e := range shuffled(s, list, s.cfg.DeathSampleSize) {
		m := &peerpb.Membership{Kind: peerpb.Kind_KIND_PROBE}
		id := s.send(e, m, s.cfg.ProbeTimeout)
		s.roll.waiting[id] = struct{}{}
		s.roll.asked++
	}
}

func (s *State) rollAnswer(id uint64, answered bool) {
	if _, ok := s.roll.waiting[id]; !ok {
		return
	}
	delete(s.roll.waiting, id)
	if answered {
		s.roll.answered++
	}
}

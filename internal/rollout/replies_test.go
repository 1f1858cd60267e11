package rollout

import (
	"testing"
	"time"
)

// Guards against a bad version that is promoted, or gets more calls than allowed, because nodes answer
// the coordinator late or not at all.
func TestLostRepliesDontPromoteABadVersion(t *testing.T) {
	for _, lost := range []float64{0.05, 0.15, 0.2, 0.3, 0.5} {
		for i := range faults {
			f := &faults[i]
			completed, worst, late := 0, 0.0, 0
			for seed := range *seeds {
				m := newModel(seed, 19, 400, 16*time.Second, f)
				m.lostReplies = lost
				m.run(nil)
				if m.record.Phase == Completed {
					completed++
				}
				worst = max(worst, float64(m.exposed)/float64(m.total))
				late += m.lateStarts()
			}
			if completed > 0 || worst > maxExposure || late > 0 {
				t.Errorf("%s, %.2f of the replies lost: %d of %d completed, at most %.3f of the calls, %d after the rollback bound",
					f.name, lost, completed, *seeds, worst, late)
			}
		}
	}
}

// Guards against a bad version that is promoted because a part of the mesh falls silent for as long as
// a partition lasts.
func TestSilentNodesDontPromoteABadVersion(t *testing.T) {
	for i := range faults {
		f := &faults[i]
		for seed := range *seeds {
			m := newModel(seed, 30, 900, 16*time.Second, f)
			m.startCoordinator()
			for m.now.Sub(m.startedAt) < m.order.TimeLimit+m.set.FinishReserve {
				since := m.now.Sub(m.startedAt)
				cut := since >= 3500*time.Millisecond && since < 13500*time.Millisecond
				for j, s := range m.servers {
					s.silent = cut && j%3 == 0
				}
				m.tick()
			}
			part := float64(m.exposed) / float64(m.total)
			if m.record.Phase != RolledBack || part > maxExposure || m.lateStarts() > 0 {
				t.Errorf("%s, seed %d: %s (%s), exposed to %.3f of the calls, %d after the rollback bound",
					f.name, seed, m.record.Phase, m.record.Reason, part, m.lateStarts())
				break
			}
		}
	}
}

// Guards against a good version that isn't completed because some replies are lost.
func TestLostRepliesDontRejectAGoodVersion(t *testing.T) {
	for _, lost := range []float64{0.05, 0.15, 0.3} {
		for seed := range *seeds {
			m := newModel(seed, 19, 400, 16*time.Second, nil)
			m.lostReplies = lost
			m.run(nil)
			if m.record.Phase != Completed || m.cutCalls > 0 {
				t.Errorf("%.2f of the replies lost, seed %d: %s (%s), %d calls interrupted", lost, seed, m.record.Phase, m.record.Reason, m.cutCalls)
				break
			}
		}
	}
}

// Guards against calls of a bad version after the bound, when nodes are killed again and again so that
// no comparison lasts.
func TestSeriesOfKillsDoesntExposeABadVersion(t *testing.T) {
	for _, gap := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		for i := range faults {
			f := &faults[i]
			for seed := range max(1, *seeds/2) {
				m := newModel(seed, 30, 900, 16*time.Second, f)
				m.startCoordinator()
				for m.now.Sub(m.startedAt) < m.order.TimeLimit+m.set.FinishReserve {
					if since := m.now.Sub(m.startedAt); since >= 2*time.Second && since%gap == 0 {
						m.killSome(4)
					}
					m.tick()
				}
				part := float64(m.exposed) / float64(m.total)
				if m.record.Phase == Completed || part > maxExposure || m.lateStarts() > 0 {
					t.Errorf("%s, kills each %s, seed %d: %s (%s), exposed to %.3f of the calls, %d after the rollback bound",
						f.name, gap, seed, m.record.Phase, m.record.Reason, part, m.lateStarts())
					break
				}
			}
		}
	}
}

// Guards against a good version that never completes because the replies of some nodes are always lost.
func TestNodesWithoutRepliesDontStopAGoodVersion(t *testing.T) {
	for seed := range *seeds {
		m := newModel(seed, 30, 900, 16*time.Second, nil)
		for j, s := range m.servers {
			s.mute = j%5 == 0
		}
		m.run(nil)
		if m.record.Phase != Completed || m.cutCalls > 0 || m.verdictAfter > m.order.TimeLimit+m.set.CallTimeout {
			t.Errorf("seed %d: %s after %s (%s), %d calls interrupted", seed, m.record.Phase, m.verdictAfter, m.record.Reason, m.cutCalls)
		}
	}
}

// Guards against a bad version that goes on getting calls while no node of the baseline answers.
func TestNoReplyOfTheBaselineExposesNoBadVersion(t *testing.T) {
	for _, start := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 7 * time.Second} {
		for i := range faults {
			f := &faults[i]
			for seed := range max(1, *seeds/5) {
				m := newModel(seed, 30, 900, 16*time.Second, f)
				m.startCoordinator()
				for m.now.Sub(m.startedAt) < m.order.TimeLimit+m.set.FinishReserve {
					for _, s := range m.servers {
						s.mute = s.Version == oldVersion && m.now.Sub(m.startedAt) >= start
					}
					m.tick()
				}
				part := float64(m.exposed) / float64(m.total)
				if m.record.Phase != RolledBack || part > maxExposure || m.lateStarts() > 0 {
					t.Errorf("%s, silent from %s on, seed %d: %s (%s), exposed to %.3f of the calls, %d after the rollback bound",
						f.name, start, seed, m.record.Phase, m.record.Reason, part, m.lateStarts())
					break
				}
			}
		}
	}
}

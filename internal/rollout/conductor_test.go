package rollout

import (
	"flag"
	"testing"
	"time"
)

// seeds is how many runs of the model each test plays; some thousand by hand.
var seeds = flag.Uint64("rollout.seeds", 20, "runs of the model a test")

// play passes the whole time of a rollout, and what a conductor takes that comes last.
func (m *model) play(lose func(tick int) bool) {
	m.conduct()
	for i := 0; m.now.Sub(m.begin) < m.order.TimeLimit+m.set.FinishReserve; i++ {
		if lose != nil && lose(i) {
			m.conductor = nil
		} else if m.conductor == nil {
			m.conduct()
		}
		m.tick()
	}
}

// exposure is the operators' bound on the part of a service's calls that a bad version gets.
const exposure = 0.1

// Guards against a good version that isn't in service in time, or cuts calls off.
func TestGoodVersionCompletesInTime(t *testing.T) {
	for _, servers := range []int{4, 19, 62} {
		for seed := range *seeds {
			m := newModel(seed, servers, float64(servers)*21, 14*time.Second, nil)
			m.play(nil)
			if m.record.Phase != Completed || m.cut > 0 || m.ended > m.order.TimeLimit {
				t.Fatalf("%d servers, seed %d: %s after %s (%s), %d calls cut off", servers, seed, m.record.Phase, m.ended, m.record.Reason, m.cut)
			}
		}
	}
}

// Guards against a bad version that is promoted, or gets more calls than it may until it is
// rolled back.
func TestBadVersionIsRolledBack(t *testing.T) {
	for i := range faults {
		f := &faults[i]
		for _, servers := range []int{19, 62} {
			worst := 0.0
			for seed := range *seeds {
				m := newModel(seed, servers, float64(servers)*21, 14*time.Second, f)
				m.play(nil)
				part := float64(m.exposed) / float64(m.total)
				worst = max(worst, part)
				if m.record.Phase != RolledBack || part > exposure || m.late > 0 {
					t.Errorf("%s, %d servers, seed %d: %s (%s), it got %.3f of the calls, %d too late",
						f.name, servers, seed, m.record.Phase, m.record.Reason, part, m.late)
					break
				}
			}
			t.Logf("%s, %d servers: at most %.3f of the calls", f.name, servers, worst)
		}
	}
}

// Guards against trouble of the whole service that condemns a good version: failures, a
// burst and slow answers of both versions alike.
func TestTroubleOfTheServiceCondemnsNobody(t *testing.T) {
	for seed := range *seeds {
		m := newModel(seed, 62, 1300, 14*time.Second, nil)
		m.failing = 0.2
		m.play(nil)
		if m.record.Phase != Completed {
			t.Fatalf("seed %d: %s (%s)", seed, m.record.Phase, m.record.Reason)
		}
	}
}

// Guards against a good version that is condemned as many nodes are lost: the calls of those
// that are left fail, at both versions, and most of the baseline's counts are of the time before.
func TestLostNodesCondemnNobody(t *testing.T) {
	for seed := range *seeds {
		m := newModel(seed, 62, 1300, 14*time.Second, nil)
		m.conduct()
		for m.now.Sub(m.begin) < 8*time.Second {
			if m.now.Sub(m.begin) == 4*time.Second {
				m.failing = 0.3
				for i, s := range m.servers {
					s.Reachable = s.Version == newVersion || i%8 == 0
				}
			}
			m.tick()
		}
		if m.record.Phase == RolledBack {
			t.Fatalf("seed %d: %s", seed, m.record.Reason)
		}
	}
}

// Guards against a good version that is condemned for the failures of the moment in which many
// nodes are killed, which hit some servers more than others; a bad one is found all the same.
func TestManyKilledNodes(t *testing.T) {
	for _, bad := range []*fault{nil, &faults[0]} {
		for seed := range *seeds {
			m := newModel(seed, 62, 1300, 14*time.Second, bad)
			m.conduct()
			for m.now.Sub(m.begin) < m.order.TimeLimit+m.set.FinishReserve {
				if m.now.Sub(m.begin) == 4*time.Second {
					m.killHalf()
				}
				m.tick()
			}
			want := Completed
			if bad != nil {
				want = RolledBack
			}
			part := float64(m.exposed) / float64(m.total)
			if m.record.Phase != want || bad != nil && (part > exposure || m.late > 0) {
				t.Fatalf("seed %d: %s (%s), %.3f of the calls, %d too late", seed, m.record.Phase, m.record.Reason, part, m.late)
			}
		}
	}
}

// Guards against a good version that is condemned for trouble of the whole service which begins
// after all of its servers were opened: most of their calls are of that moment, few of the
// baseline's.
func TestTroubleAfterAllServersOpened(t *testing.T) {
	for seed := range *seeds {
		m := newModel(seed, 62, 1300, 14*time.Second, nil)
		m.conduct()
		for m.now.Sub(m.begin) < m.order.TimeLimit+time.Second {
			if e := m.conductor.expanding; !e.IsZero() && m.now.Sub(e) >= m.set.Tick {
				m.failing = 0.3
			}
			m.tick()
		}
		if m.record.Phase != Completed || m.cut > 0 {
			t.Fatalf("seed %d: %s (%s), %d calls cut off", seed, m.record.Phase, m.record.Reason, m.cut)
		}
	}
}

// Guards against a good version that is condemned for trouble of the whole service which comes as
// the baseline drains and runs no calls any more.
func TestTroubleAsTheBaselineDrains(t *testing.T) {
	for seed := range *seeds {
		m := newModel(seed, 62, 1300, 14*time.Second, nil)
		m.conduct()
		for m.now.Sub(m.begin) < m.order.TimeLimit+time.Second {
			if m.record.Phase == Draining {
				m.failing = 0.5
			}
			m.tick()
		}
		if m.record.Phase != Completed || m.cut > 0 {
			t.Fatalf("seed %d: %s (%s), %d calls cut off", seed, m.record.Phase, m.record.Reason, m.cut)
		}
	}
}

// Guards against a rollout without a verdict: its servers are lost after all of them were opened.
func TestServersLostAtTheEnd(t *testing.T) {
	m := newModel(1, 19, 400, 14*time.Second, nil)
	m.conduct()
	for m.now.Sub(m.begin) < m.order.TimeLimit+time.Second {
		if m.now.Sub(m.begin) == 8500*time.Millisecond {
			m.servers = m.servers[:len(m.servers)-15]
		}
		m.tick()
	}
	if m.record.Phase != RolledBack {
		t.Errorf("%s: %s", m.record.Phase, m.record.Reason)
	}
}

// Guards against a conductor that is lost at any moment: the next one goes on, and meanwhile a
// bad version takes no more than its last grant.
func TestLostConductor(t *testing.T) {
	for seed := range *seeds {
		for gap := 2; gap < 26; gap += 4 {
			lost := func(tick int) bool { return tick >= gap && tick < gap+8 }
			good := newModel(seed, 62, 1300, 18*time.Second, nil)
			good.play(lost)
			if !good.record.Phase.Final() || good.cut > 0 {
				t.Fatalf("seed %d, lost at tick %d: %s (%s), %d calls cut off", seed, gap, good.record.Phase, good.record.Reason, good.cut)
			}
			bad := newModel(seed, 62, 1300, 18*time.Second, &faults[0])
			bad.play(lost)
			if part := float64(bad.exposed) / float64(bad.total); bad.record.Phase != RolledBack || part > exposure || bad.late > 0 {
				t.Fatalf("seed %d, lost at tick %d: %s, it got %.3f of the calls, %d too late", seed, gap, bad.record.Phase, part, bad.late)
			}
		}
	}
}

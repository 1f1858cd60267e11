package rollout

import (
	"flag"
	"testing"
	"time"
)

// seeds is the number of model runs per test; run some thousand by hand.
var seeds = flag.Uint64("rollout.seeds", 20, "runs of the model per test")

// run runs the model for the time limit of a rollout and the reserve of a coordinator that starts
// last.
func (m *model) run(lose func(tick int) bool) {
	m.startCoordinator()
	for i := 0; m.now.Sub(m.startedAt) < m.order.TimeLimit+m.set.FinishReserve; i++ {
		if lose != nil && lose(i) {
			m.coordinator = nil
		} else if m.coordinator == nil {
			m.startCoordinator()
		}
		m.tick()
	}
}

// maxExposure is the operators' bound on the fraction of a service's calls that a bad version gets.
const maxExposure = 0.1

// Guards against a good version that is not in service in time, or whose rollout interrupts calls.
func TestGoodVersionCompletesInTime(t *testing.T) {
	for _, servers := range []int{4, 19, 62} {
		for seed := range *seeds {
			m := newModel(seed, servers, float64(servers)*21, 14*time.Second, nil)
			m.run(nil)
			if m.record.Phase != Completed || m.cutCalls > 0 || m.verdictAfter > m.order.TimeLimit {
				t.Fatalf("%d servers, seed %d: %s after %s (%s), %d calls interrupted", servers, seed, m.record.Phase, m.verdictAfter, m.record.Reason, m.cutCalls)
			}
		}
	}
}

// Guards against a bad version that is promoted, or gets more calls than allowed until it is rolled
// back.
func TestBadVersionIsRolledBack(t *testing.T) {
	for i := range faults {
		f := &faults[i]
		for _, servers := range []int{19, 62} {
			worst := 0.0
			for seed := range *seeds {
				m := newModel(seed, servers, float64(servers)*21, 14*time.Second, f)
				m.run(nil)
				part := float64(m.exposed) / float64(m.total)
				worst = max(worst, part)
				if m.record.Phase != RolledBack || part > maxExposure || m.lateCalls > 0 {
					t.Errorf("%s, %d servers, seed %d: %s (%s), exposed to %.3f of the calls, %d after the rollback bound",
						f.name, servers, seed, m.record.Phase, m.record.Reason, part, m.lateCalls)
					break
				}
			}
			t.Logf("%s, %d servers: at most %.3f of the calls", f.name, servers, worst)
		}
	}
}

// Guards against a fault of the whole service that rejects a good version: failures, a burst and
// slow answers of both versions alike.
func TestServiceWideFailuresRejectNoVersion(t *testing.T) {
	for seed := range *seeds {
		m := newModel(seed, 62, 1300, 14*time.Second, nil)
		m.failing = 0.2
		m.run(nil)
		if m.record.Phase != Completed {
			t.Fatalf("seed %d: %s (%s)", seed, m.record.Phase, m.record.Reason)
		}
	}
}

// Guards against rejecting a good version when many nodes are lost: calls of the remaining ones
// fail at both versions, and most of the baseline's counts are of an earlier period.
func TestLostNodesRejectNoVersion(t *testing.T) {
	for seed := range *seeds {
		m := newModel(seed, 62, 1300, 14*time.Second, nil)
		m.startCoordinator()
		for m.now.Sub(m.startedAt) < 8*time.Second {
			if m.now.Sub(m.startedAt) == 4*time.Second {
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

// Guards against rejecting a good version for the failures at the moment when many nodes are
// killed, which hit some servers more than others. A bad version must still be detected.
func TestManyKilledNodes(t *testing.T) {
	for _, bad := range []*fault{nil, &faults[0]} {
		for seed := range *seeds {
			m := newModel(seed, 62, 1300, 14*time.Second, bad)
			m.startCoordinator()
			for m.now.Sub(m.startedAt) < m.order.TimeLimit+m.set.FinishReserve {
				if m.now.Sub(m.startedAt) == 4*time.Second {
					m.killHalf()
				}
				m.tick()
			}
			want := Completed
			if bad != nil {
				want = RolledBack
			}
			part := float64(m.exposed) / float64(m.total)
			if m.record.Phase != want || bad != nil && (part > maxExposure || m.lateCalls > 0) {
				t.Fatalf("seed %d: %s (%s), exposed to %.3f of the calls, %d after the rollback bound", seed, m.record.Phase, m.record.Reason, part, m.lateCalls)
			}
		}
	}
}

// Guards against rejecting a good version for a fault of the whole service that starts after all of
// its servers were opened: most of their calls are of that period, few of the baseline's.
func TestFailuresAfterAllServersOpened(t *testing.T) {
	for seed := range *seeds {
		m := newModel(seed, 62, 1300, 14*time.Second, nil)
		m.startCoordinator()
		for m.now.Sub(m.startedAt) < m.order.TimeLimit+time.Second {
			if e := m.coordinator.openedAt; !e.IsZero() && m.now.Sub(e) >= m.set.Tick {
				m.failing = 0.3
			}
			m.tick()
		}
		if m.record.Phase != Completed || m.cutCalls > 0 {
			t.Fatalf("seed %d: %s (%s), %d calls interrupted", seed, m.record.Phase, m.record.Reason, m.cutCalls)
		}
	}
}

// Guards against rejecting a good version for a fault of the whole service that starts while the
// baseline drains and runs no calls any more.
func TestFailuresWhileBaselineDrains(t *testing.T) {
	for seed := range *seeds {
		m := newModel(seed, 62, 1300, 14*time.Second, nil)
		m.startCoordinator()
		for m.now.Sub(m.startedAt) < m.order.TimeLimit+time.Second {
			if m.record.Phase == Draining {
				m.failing = 0.5
			}
			m.tick()
		}
		if m.record.Phase != Completed || m.cutCalls > 0 {
			t.Fatalf("seed %d: %s (%s), %d calls interrupted", seed, m.record.Phase, m.record.Reason, m.cutCalls)
		}
	}
}

// Guards against a rollout that is never decided because its servers are lost after all were
// opened.
func TestServersLostAtTheEnd(t *testing.T) {
	m := newModel(1, 19, 400, 14*time.Second, nil)
	m.startCoordinator()
	for m.now.Sub(m.startedAt) < m.order.TimeLimit+time.Second {
		if m.now.Sub(m.startedAt) == 8500*time.Millisecond {
			m.servers = m.servers[:len(m.servers)-15]
		}
		m.tick()
	}
	if m.record.Phase != RolledBack {
		t.Errorf("%s: %s", m.record.Phase, m.record.Reason)
	}
}

// Guards against a coordinator lost at any moment: the next one must continue, and meanwhile a bad
// version must take no more calls than its last grant.
func TestLostCoordinator(t *testing.T) {
	for seed := range *seeds {
		for gap := 2; gap < 26; gap += 4 {
			lost := func(tick int) bool { return tick >= gap && tick < gap+8 }
			good := newModel(seed, 62, 1300, 18*time.Second, nil)
			good.run(lost)
			if !good.record.Phase.Final() || good.cutCalls > 0 {
				t.Fatalf("seed %d, lost at tick %d: %s (%s), %d calls interrupted", seed, gap, good.record.Phase, good.record.Reason, good.cutCalls)
			}
			bad := newModel(seed, 62, 1300, 18*time.Second, &faults[0])
			bad.run(lost)
			if part := float64(bad.exposed) / float64(bad.total); bad.record.Phase != RolledBack || part > maxExposure || bad.lateCalls > 0 {
				t.Fatalf("seed %d, lost at tick %d: %s, exposed to %.3f of the calls, %d after the rollback bound", seed, gap, bad.record.Phase, part, bad.lateCalls)
			}
		}
	}
}

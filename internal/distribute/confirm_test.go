package distribute

import (
	"fmt"
	"testing"
	"time"
)

func timeProfile(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) }

func bytesProfile(id, dc string) Settings { return Defaults(id, dc, BytesProfile()) }

// isolate cuts every node off from every other, and has each suspect all others.
func (m *mesh) isolate() {
	m.cut = func(a, b string) bool { return true }
	for _, n := range m.nodes {
		m.views[n.id] = m.suspectView(n)
	}
}

// checkInTime commits a change and checks that all nodes hold it within the operators' bound.
func (m *mesh) checkInTime(t *testing.T) {
	t.Helper()
	m.change(nil)
	m.run(inForceWithin)
	if !m.converged() {
		t.Errorf("over %v until a change is in force: %s", inForceWithin, describe(m))
	}
}

// Guards nodes that are cut off from all others, and reach the platform, against an old version,
// whenever the change comes.
func TestIsolatedNodesHoldChangesInTime(t *testing.T) {
	t.Parallel()
	for _, set := range []func(id, dc string) Settings{timeProfile, bytesProfile} {
		for seed := range uint64(3) {
			m := newMesh(48, 1, seed, set)
			m.change(nil)
			m.run(20 * time.Second)
			m.isolate()
			for i := range 6 {
				m.run(time.Duration(i) * 1300 * time.Millisecond)
				m.checkInTime(t)
			}
		}
	}
}

// Guards the platform against the reads of isolated nodes over a long cut: two feeders a data
// centre, and the others together about as one.
func TestIsolatedNodesReadSeldomForLong(t *testing.T) {
	t.Parallel()
	const dcs = 5
	m := newMesh(240, dcs, 3, timeProfile)
	m.change(nil)
	m.run(20 * time.Second)
	m.isolate()
	m.checkReads(t, dcs, 5*time.Minute)
}

// Guards against a change that nobody reads where the platform leaves most nodes, the feeders among
// them, without an answer for long.
func TestPlatformSilentForMost(t *testing.T) {
	t.Parallel()
	for _, set := range []func(id, dc string) Settings{timeProfile, bytesProfile} {
		for seed := range uint64(3) {
			m := newMesh(48, 2, seed, set)
			m.change(nil)
			m.run(20 * time.Second)
			answered := make(map[string]bool)
			for _, dc := range []string{"dc0", "dc1"} {
				answered[m.lastRanked(dc)] = true
			}
			m.silent = func(n *node) bool { return !answered[n.id] }
			for i := range 5 {
				m.run(time.Duration(i) * 1700 * time.Millisecond)
				m.checkInTime(t)
			}
		}
	}
}

// lastRanked returns the node of a data centre that is the last to stand in for its feeders.
func (m *mesh) lastRanked(dc string) string {
	var ids []string
	for _, id := range m.ids {
		if m.nodes[id].dc == dc {
			ids = append(ids, id)
		}
	}
	order := ranked("feeder/"+dc+"/", ids)
	return order[len(order)-1]
}

// Guards a node that is cut off while its suspicions come and go, as its membership hears a late
// message now and then.
func TestFlappingSuspicionsDelayNoRead(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		m := newMesh(48, 1, seed, timeProfile)
		m.change(nil)
		m.run(20 * time.Second)
		n := m.someNonFeeder()
		m.cut = func(a, b string) bool { return a == n.id || b == n.id }
		var flap func()
		suspects := false
		flap = func() {
			if suspects = !suspects; suspects {
				m.views[n.id] = m.suspectView(n)
			} else {
				delete(m.views, n.id)
			}
			m.after(2*time.Second, flap)
		}
		flap()
		for range 4 {
			m.checkInTime(t)
		}
	}
}

// Guards the platform against nodes that read it beside feeders that are well: the way of a
// confirmation through a data centre takes some seconds.
func TestFeedersThatAreAnsweredReadForAll(t *testing.T) {
	t.Parallel()
	const dcs, seconds = 5, 60
	m := newMesh(120, dcs, 3, timeProfile)
	m.probe = 2 * time.Second
	m.change(nil)
	m.run(20 * time.Second)
	m.reads = 0
	m.run(seconds * time.Second)
	if most := feedersPerDC * dcs * seconds; m.reads > most {
		t.Errorf("%d reads in %d s, over %d", m.reads, seconds, most)
	}
}

// Guards operators against reports of reads in place of feeders that are well, in a data centre so
// large that confirmations come late now and then, and against none where the feeders get no answer.
func TestStandInsAreReportedOnlyWhereNeeded(t *testing.T) {
	t.Parallel()
	m := newMesh(120, 1, 1, bytesProfile)
	m.probe = 2 * time.Second
	m.change(nil)
	m.run(90 * time.Second)
	if n := m.standIns(); n > 0 {
		t.Errorf("%d reports though the feeders are answered", n)
	}
	m.silent = func(n *node) bool { return n.state.Feeder() }
	m.checkInTime(t)
	n := m.standIns()
	if n == 0 {
		t.Error("no report though the feeders get no answer")
	}
	m.run(60 * time.Second)
	if most := 2 * len(m.ids); m.standIns() > most {
		t.Errorf("%d reports, over %d", m.standIns(), most)
	}
}

func (m *mesh) standIns() int {
	n := 0
	for _, node := range m.nodes {
		n += len(node.standIns)
	}
	return n
}

// Guards a feeder that hears others again against reading as seldom as one that is cut off.
func TestFeederReadsOftenOnceItHearsOthers(t *testing.T) {
	m := newMesh(48, 1, 2, timeProfile)
	m.change(nil)
	m.run(20 * time.Second)
	m.isolate()
	m.run(20 * time.Second)
	m.cut = func(a, b string) bool { return false }
	clear(m.views)
	m.run(3 * time.Second)
	m.reads = 0
	m.run(10 * time.Second)
	if least := feedersPerDC * 8; m.reads < least {
		t.Errorf("%d reads in 10 s, under %d", m.reads, least)
	}
}

// Guards a confirmation against a peer that is behind, or of another history: what it calls the
// newest is not what is held here.
func TestOnlyVersionsHeldAreConfirmed(t *testing.T) {
	ds, _ := history(t, "booking", 3)
	other, _ := history(t, "other", 3)
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name string
		e    VersionReceived
		want bool
	}{
		{"the version held", VersionReceived{Version: ds[1].To}, true},
		{"an older one of its history", VersionReceived{Version: ds[0].To}, true},
		{"a newer one", VersionReceived{Version: ds[2].To}, false},
		{"one of another history", VersionReceived{Version: other[1].To}, false},
	} {
		s := New(timeProfile("self", "dc"), now)
		if !s.applyDeltas(SourcePlatform, ds[:2]) {
			t.Fatal("the history can't be applied")
		}
		c.e.Peer, c.e.Confirmed = "p", Confirmation{At: now.Add(4 * time.Second), Reader: "q"}
		s.RecordMessage(now.Add(5*time.Second), c.e)
		if got := s.confirmed.Reader == "q"; got != c.want {
			t.Errorf("%s: confirmed %t", c.name, got)
		}
	}
}

// Guards a message that differs from the one before in its confirmation alone against being dropped
// as nothing new.
func TestRunnerTakesConfirmations(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, _ := history(t, "booking", 1)
	e := tell(t, ds)
	r.Heard(e)
	e.Changes = nil
	for _, age := range []uint64{9000, 4000} {
		e.Confirmed = Confirmation{time.Now().Add(-time.Duration(age) * time.Millisecond), "q"}.Proto(time.Now())
		r.Heard(e)
		c := r.Stamp().Confirmed
		if c.GetReader() != "q" || c.GetAgeMs() < age || c.GetAgeMs() > age+2000 {
			t.Errorf("told of %d ms, tells %v", age, c)
		}
	}
}

// Guards the ages that are passed on against becoming younger on their way.
func TestConfirmationGrowsNoYounger(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := Confirmation{now.Add(-1500*time.Millisecond - 100*time.Microsecond), "q"}
	for i := range 50 {
		next := ConfirmationFromProto(now, c.Proto(now))
		if next.At.After(c.At) {
			t.Fatal(fmt.Sprint("younger after ", i, " messages"))
		}
		c = next
	}
}

package distribute

import (
	"fmt"
	"testing"
	"time"
)

func timeSettings(id, dc string) Settings { return Defaults(id, dc, TimeProfile()) }

func bytesSettings(id, dc string) Settings { return Defaults(id, dc, BytesProfile()) }

// isolateAll partitions every node from all others, each of which it then suspects.
func (m *mesh) isolateAll() {
	m.partitioned = func(a, b string) bool { return true }
	for _, n := range m.nodes {
		m.views[n.id] = m.suspectView(n)
	}
}

// checkConvergesInTime commits a change and checks that all nodes hold it within the operators'
// limit.
func (m *mesh) checkConvergesInTime(t *testing.T) {
	t.Helper()
	m.commitChange(nil)
	m.run(inForceWithin)
	if !m.converged() {
		t.Errorf("a change took over %v to come into force: %s", inForceWithin, describe(m))
	}
}

// Guards isolated nodes that reach the platform against running an old version, at any time of the
// change.
func TestIsolatedNodesHoldChangesInTime(t *testing.T) {
	t.Parallel()
	for _, set := range []func(id, dc string) Settings{timeSettings, bytesSettings} {
		for seed := range uint64(3) {
			m := newMesh(48, 1, seed, set)
			m.commitChange(nil)
			m.run(20 * time.Second)
			m.isolateAll()
			for i := range 6 {
				m.run(time.Duration(i) * 1300 * time.Millisecond)
				m.checkConvergesInTime(t)
			}
		}
	}
}

// Guards the platform against the reads of isolated nodes during a long partition: two feeders per
// data centre, and the others together about one more.
func TestIsolatedNodesBoundPlatformReads(t *testing.T) {
	t.Parallel()
	const dcs = 5
	m := newMesh(240, dcs, 3, timeSettings)
	m.commitChange(nil)
	m.run(20 * time.Second)
	m.isolateAll()
	m.checkReads(t, dcs, 5*time.Minute)
}

// Guards against a change that no node reads while the platform does not answer most nodes,
// including the feeders, for a long time.
func TestPlatformSilentForMost(t *testing.T) {
	t.Parallel()
	for _, set := range []func(id, dc string) Settings{timeSettings, bytesSettings} {
		for seed := range uint64(3) {
			m := newMesh(48, 2, seed, set)
			m.commitChange(nil)
			m.run(20 * time.Second)
			answered := make(map[string]bool)
			for _, dc := range []string{"dc0", "dc1"} {
				answered[m.lastRanked(dc)] = true
			}
			m.platformSilent = func(n *node) bool { return !answered[n.id] }
			for i := range 5 {
				m.run(time.Duration(i) * 1700 * time.Millisecond)
				m.checkConvergesInTime(t)
			}
		}
	}
}

// lastRanked returns the node of a data centre that is the last to make a fallback read.
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

// Guards an isolated node against late reads when its suspicions come and go, because its
// membership receives an occasional late message.
func TestFlappingSuspicionsDelayNoRead(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		m := newMesh(48, 1, seed, timeSettings)
		m.commitChange(nil)
		m.run(20 * time.Second)
		n := m.anyNonFeeder()
		m.partitioned = func(a, b string) bool { return a == n.id || b == n.id }
		var toggle func()
		suspects := false
		toggle = func() {
			if suspects = !suspects; suspects {
				m.views[n.id] = m.suspectView(n)
			} else {
				delete(m.views, n.id)
			}
			m.after(2*time.Second, toggle)
		}
		toggle()
		for range 4 {
			m.checkConvergesInTime(t)
		}
	}
}

// Guards the platform against fallback reads beside healthy feeders: a confirmation takes some
// seconds to spread through a data centre.
func TestHealthyFeedersReadForAll(t *testing.T) {
	t.Parallel()
	const dcs, seconds = 5, 60
	m := newMesh(120, dcs, 3, timeSettings)
	m.probeInterval = 2 * time.Second
	m.commitChange(nil)
	m.run(20 * time.Second)
	m.reads = 0
	m.run(seconds * time.Second)
	if most := feedersPerDC * dcs * seconds; m.reads > most {
		t.Errorf("%d reads in %d s, over %d", m.reads, seconds, most)
	}
}

// Guards against reports of fallback reads while the feeders are healthy, in a data centre so large
// that confirmations are occasionally late, and against no report when the feeders get no answer.
func TestFallbackReadsReportedOnlyWhenNeeded(t *testing.T) {
	t.Parallel()
	m := newMesh(120, 1, 1, bytesSettings)
	m.probeInterval = 2 * time.Second
	m.commitChange(nil)
	m.run(90 * time.Second)
	if n := m.fallbackReads(); n > 0 {
		t.Errorf("%d reports though the platform answers the feeders", n)
	}
	m.platformSilent = func(n *node) bool { return n.state.Feeder() }
	m.checkConvergesInTime(t)
	n := m.fallbackReads()
	if n == 0 {
		t.Error("no report though the platform does not answer the feeders")
	}
	m.run(60 * time.Second)
	if most := 2 * len(m.ids); m.fallbackReads() > most {
		t.Errorf("%d reports, over %d", m.fallbackReads(), most)
	}
}

func (m *mesh) fallbackReads() int {
	n := 0
	for _, node := range m.nodes {
		n += len(node.fallbackReads)
	}
	return n
}

// Guards a feeder that receives messages again against keeping the long read interval of an
// isolated node.
func TestFeederResumesReadIntervalAfterIsolation(t *testing.T) {
	m := newMesh(48, 1, 2, timeSettings)
	m.commitChange(nil)
	m.run(20 * time.Second)
	m.isolateAll()
	m.run(20 * time.Second)
	m.partitioned = func(a, b string) bool { return false }
	clear(m.views)
	m.run(3 * time.Second)
	m.reads = 0
	m.run(10 * time.Second)
	if least := feedersPerDC * 8; m.reads < least {
		t.Errorf("%d reads in 10 s, under %d", m.reads, least)
	}
}

// Guards a confirmation against a peer that is behind, or on another history: the version that it
// confirms is not the one held here.
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
		s := New(timeSettings("self", "dc"), now)
		if !s.applyDeltas(SourcePlatform, ds[:2]) {
			t.Fatal("the history cannot be applied")
		}
		c.e.Peer, c.e.Confirmed = "p", Confirmation{At: now.Add(4 * time.Second), Reader: "q"}
		s.RecordMessage(now.Add(5*time.Second), c.e)
		if got := s.confirmed.Reader == "q"; got != c.want {
			t.Errorf("%s: confirmed %t", c.name, got)
		}
	}
}

// Guards a message that differs from the previous one only in its confirmation against being
// dropped as unchanged.
func TestRunnerRecordsConfirmations(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, _ := history(t, "booking", 1)
	e := pushEnvelope(t, ds)
	r.Heard(e)
	e.Changes = nil
	for _, age := range []uint64{9000, 4000} {
		e.Confirmed = Confirmation{time.Now().Add(-time.Duration(age) * time.Millisecond), "q"}.Proto(time.Now())
		r.Heard(e)
		c := r.Stamp().Confirmed
		if c.GetReader() != "q" || c.GetAgeMs() < age || c.GetAgeMs() > age+2000 {
			t.Errorf("received an age of %d ms, sends %v", age, c)
		}
	}
}

// Guards forwarded confirmation ages against shrinking on the way.
func TestConfirmationAgeNeverShrinks(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := Confirmation{now.Add(-1500*time.Millisecond - 100*time.Microsecond), "q"}
	for i := range 50 {
		next := ConfirmationFromProto(now, c.Proto(now))
		if next.At.After(c.At) {
			t.Fatal(fmt.Sprint("age shrank after ", i, " messages"))
		}
		c = next
	}
}

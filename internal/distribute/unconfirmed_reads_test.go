package distribute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// checkReads checks that the platform receives no more reads than two feeders per data centre, and
// the others together about as one, would make.
func (m *mesh) checkReads(t *testing.T, dcs int, during time.Duration) {
	t.Helper()
	m.reads = 0
	m.run(during)
	if most := 4 * dcs * int(during.Seconds()); m.reads > most {
		t.Errorf("%d reads in %v, over %d", m.reads, during, most)
	}
}

// Guards the platform against continuous reads while its answers confirm nothing: heads older than
// the version held, as from a backup or a lagging replica.
func TestOlderHeadsBoundPlatformReads(t *testing.T) {
	t.Parallel()
	const dcs = 2
	for _, set := range []func(id, dc string) Settings{timeSettings, bytesSettings} {
		m := newMesh(48, dcs, 1, set)
		m.commitChange(nil)
		m.run(20 * time.Second)
		m.commitChange(nil)
		m.run(15 * time.Second)
		m.headLag = 1
		m.run(20 * time.Second)
		m.checkReads(t, dcs, 2*time.Minute)
	}
}

// Guards the platform against continuous reads while it holds a table of another history.
func TestOtherHistoryBoundsPlatformReads(t *testing.T) {
	t.Parallel()
	const dcs = 2
	for _, set := range []func(id, dc string) Settings{timeSettings, bytesSettings} {
		m := newMesh(48, dcs, 1, set)
		m.commitChange(nil)
		m.run(20 * time.Second)
		m.log, _ = history(t, "other", 3)
		m.run(20 * time.Second)
		m.checkReads(t, dcs, 2*time.Minute)
	}
}

// Guards a data centre in which the platform answers only the last node to make a fallback read:
// what it reads has to reach all others in time, repeatedly.
func TestLastFallbackReaderServesDataCentre(t *testing.T) {
	t.Parallel()
	for _, set := range []func(id, dc string) Settings{timeSettings, bytesSettings} {
		for seed := range uint64(3) {
			m := newMesh(48, 1, seed, set)
			m.commitChange(nil)
			m.run(20 * time.Second)
			answered := m.lastRanked("dc0")
			m.platformSilent = func(n *node) bool { return n.id != answered }
			for i := range 5 {
				m.run(time.Duration(i) * 1700 * time.Millisecond)
				m.checkConvergesInTime(t)
			}
		}
	}
}

// Guards a fallback reader against waiting for its next turn when the head shows a newer version
// and the log cannot be read.
func TestFailedLogReadIsRetried(t *testing.T) {
	ds, _ := history(t, "booking", 2)
	var ids []string
	for i := range 48 {
		ids = append(ids, fmt.Sprint("vm", i))
	}
	self := ranked("feeder/dc/", ids)[feedersPerDC]
	view := &membership.View{Self: self, Records: make(map[string]*membership.ObservedRecord)}
	for _, id := range ids {
		view.Records[id] = &membership.ObservedRecord{Record: membership.Record{
			VM: membership.VM{ID: id, DataCentre: "dc"}, State: membership.VMAlive,
		}}
	}
	now, rng := time.Unix(1_700_000_000, 0), rand.New(rand.NewPCG(1, 1))
	s := New(timeSettings(self, "dc"), now)
	if !s.applyDeltas(SourcePlatform, ds[:1]) {
		t.Fatal("the history cannot be applied")
	}
	s.startup.done = true
	step := func(after time.Duration, ev Event, want Action) {
		t.Helper()
		now = now.Add(after)
		if got := s.Step(now, rng, view, ev); !slices.Contains(got, want) {
			t.Fatalf("%v after %T, want %T", got, ev, want)
		}
	}
	step(inForceWithin, Tick{}, ReadHead{})
	step(0, HeadRead{Version: ds[1].To}, ReadSince{ds[0].To})
	s.Step(now, rng, view, PlatformRead{Err: errLost})
	step(s.set.RetryCap, Tick{}, ReadHead{})
}

package distribute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// checkReads checks that the platform is read no more often than by two feeders a data centre, and by
// the others together about as one.
func (m *mesh) checkReads(t *testing.T, dcs int, during time.Duration) {
	t.Helper()
	m.reads = 0
	m.run(during)
	if most := 4 * dcs * int(during.Seconds()); m.reads > most {
		t.Errorf("%d reads in %v, over %d", m.reads, during, most)
	}
}

// Guards the platform against nodes that read it without a pause while its answers confirm nothing:
// heads older than the version held, as of a backup or a replica that lags.
func TestOlderHeadsMakeNoStorm(t *testing.T) {
	t.Parallel()
	const dcs = 2
	for _, set := range []func(id, dc string) Settings{timeProfile, bytesProfile} {
		m := newMesh(48, dcs, 1, set)
		m.change(nil)
		m.run(20 * time.Second)
		m.change(nil)
		m.run(15 * time.Second)
		m.headLag = 1
		m.run(20 * time.Second)
		m.checkReads(t, dcs, 2*time.Minute)
	}
}

// Guards the platform against the same where it holds a table of another history.
func TestOtherHistoryMakesNoStorm(t *testing.T) {
	t.Parallel()
	const dcs = 2
	for _, set := range []func(id, dc string) Settings{timeProfile, bytesProfile} {
		m := newMesh(48, dcs, 1, set)
		m.change(nil)
		m.run(20 * time.Second)
		m.log, _ = history(t, "other", 3)
		m.run(20 * time.Second)
		m.checkReads(t, dcs, 2*time.Minute)
	}
}

// Guards a data centre of which the platform answers one node alone, the last to stand in for the
// feeders: what that one finds has to reach all others in time, again and again.
func TestLastStandInServesItsDataCentre(t *testing.T) {
	t.Parallel()
	for _, set := range []func(id, dc string) Settings{timeProfile, bytesProfile} {
		for seed := range uint64(3) {
			m := newMesh(48, 1, seed, set)
			m.change(nil)
			m.run(20 * time.Second)
			answered := m.lastRanked("dc0")
			m.silent = func(n *node) bool { return n.id != answered }
			for i := range 5 {
				m.run(time.Duration(i) * 1700 * time.Millisecond)
				m.checkInTime(t)
			}
		}
	}
}

// Guards a node that reads in place of its feeders against waiting for its next turn where the
// head tells of a newer version and the log can't be read.
func TestLogThatCannotBeReadIsAskedForAgain(t *testing.T) {
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
	s := New(timeProfile(self, "dc"), now)
	if !s.applyDeltas(SourcePlatform, ds[:1]) {
		t.Fatal("the history can't be applied")
	}
	s.start.done = true
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

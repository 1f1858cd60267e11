package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Quarantine after two crashes needs alerts that are faster than resends. This test measures the
// effect of slower alerts, against no quarantine.
func TestMeasureSlowAlerts(t *testing.T) {
	for _, c := range []struct {
		callers int
		resend  time.Duration
		alert   time.Duration
	}{
		{1, time.Second, 20 * time.Millisecond},
		{1, 10 * time.Millisecond, 20 * time.Millisecond},
		{5, time.Second, 20 * time.Millisecond},
		{5, 100 * time.Millisecond, 20 * time.Millisecond},
		{5, 100 * time.Millisecond, 500 * time.Millisecond},
		{20, 100 * time.Millisecond, 20 * time.Millisecond},
		{20, 100 * time.Millisecond, 500 * time.Millisecond},
	} {
		for _, entryAlert := range []time.Duration{c.alert, time.Second} {
			before, beforeWorst := measureCrashes(c.callers, c.resend, c.alert, entryAlert, true, true)
			after, afterWorst := measureCrashes(c.callers, c.resend, c.alert, entryAlert, true, false)
			t.Logf("%2d callers, a resend each %v, alerts after %v, at other entry nodes %v: %.2f crashes on average, %d at most without the check at the destination; %.2f, %d with it",
				c.callers, c.resend, c.alert, entryAlert, before, beforeWorst, after, afterWorst)
			if after > before || afterWorst > beforeWorst {
				t.Errorf("the check at the destination causes more crashes")
			}
		}
		withQuarantine, worst := measureCrashes(c.callers, c.resend, c.alert, c.alert, true, false)
		without, _ := measureCrashes(c.callers, c.resend, c.alert, c.alert, false, false)
		t.Logf("%2d callers, a resend each %v, alerts after %v: %.2f crashes on average, %d at most; without quarantine %.1f in 5 s",
			c.callers, c.resend, c.alert, withQuarantine, worst, without)
		if withQuarantine >= without {
			t.Errorf("no fewer crashes than without quarantine")
		}
		if c.callers == 1 && worst > 2 {
			t.Errorf("one caller crashed %d backend servers", worst)
		}
	}
}

// measureCrashes returns how many backend servers one bad request crashed, as the mean over seeds
// and the maximum. Callers resend it some time after it broke or was refused.
func measureCrashes(callers int, resend, alert, entryAlert time.Duration, quarantine, skipPinCheck bool) (mean float64, worst int) {
	const seeds = 10
	for seed := range uint64(seeds) {
		n := simulate(rand.New(rand.NewPCG(1, seed)), callers, resend, alert, entryAlert, quarantine, skipPinCheck)
		mean += float64(n) / seeds
		worst = max(worst, n)
	}
	return mean, worst
}

// timedEvent is an event of simulate.
type timedEvent struct {
	at  time.Time
	run func()
}

const (
	crashAfter   = 5 * time.Millisecond // from the start of the bad request
	restartAfter = 2 * time.Second
)

// simulate runs the model for 5 s and returns the number of crashes. Callers use the last nodes as
// entry nodes, which have no endpoint and receive alerts after entryAlert.
func simulate(rng *rand.Rand, callers int, resend, alert, entryAlert time.Duration, quarantine, skipPinCheck bool) int {
	const nodes, endpoints = 40, 20
	m, bad := newMesh(nodes), request("bad")
	m.skipPinCheck = skipPinCheck
	for i := endpoints; i < nodes; i++ {
		m.up[i] = false
	}
	var todo []timedEvent
	after := func(d time.Duration, run func()) { todo = append(todo, timedEvent{m.now.Add(d), run}) }
	crash := func(at, entry int) {
		if !m.up[at] {
			return // another copy crashed it first
		}
		ns, _ := m.crash(at)
		after(restartAfter, func() { m.up[at] = true })
		if !quarantine {
			m.lists[at] = newList(vm(at))
			return
		}
		m.lists[entry].Broke(m.now, bad, endpointID(at))
		after(alert, func() { m.deliverTo(at, 0, endpoints, ns) })
		after(entryAlert, func() { m.deliverTo(at, endpoints, nodes, ns) })
	}
	for i := range callers {
		entry := endpoints + i%endpoints
		var send func()
		again := func() { after(time.Duration(rng.ExpFloat64()*float64(resend)), send) }
		send = func() {
			if !m.send(entry, bad, rng.IntN(endpoints)) {
				again()
				return
			}
			at := m.runs[len(m.runs)-1].at
			after(crashAfter, func() {
				crash(at, entry)
				again()
			})
		}
		again()
	}
	end := start.Add(5 * time.Second)
	for {
		next := 0
		for i := range todo {
			if todo[i].at.Before(todo[next].at) {
				next = i
			}
		}
		e := todo[next]
		if e.at.After(end) {
			return m.crashCount
		}
		todo = slices.Delete(todo, next, next+1)
		m.now = e.at
		e.run()
	}
}

// The crashed backend server restarts while the suspect runs isolated at its selected endpoint. If
// the selection moved to the restarted one, a resend would run beside the first copy and crash a
// third backend server.
func TestSelectedEndpointIsStableAfterRestart(t *testing.T) {
	const nodes = 5
	for i := range 20 {
		fp := request(fmt.Sprint(i))
		for first := range nodes {
			m := newMesh(nodes)
			m.send(0, fp, first)
			ns, _ := m.crash(first)
			m.deliverAll(first, ns)
			before := m.choose(1, fp, 0)
			m.up[first] = true
			if after := m.choose(2, fp, 3); after != before || after == first {
				t.Fatalf("selected %d, and %d after %d came back", before, after, first)
			}
		}
	}
}

// After one crash known to all nodes of the service, two copies arrive through entry nodes that
// have not received the notice. If each sent its copy to another endpoint, both endpoints would
// crash.
func TestCopiesThroughUninformedEntryNodes(t *testing.T) {
	const nodes, entries = 7, 2
	for i := range 20 {
		fp := request(fmt.Sprint(i))
		for first := range nodes - entries {
			m := newMesh(nodes)
			m.up[5], m.up[6] = false, false
			m.send(0, fp, first)
			ns, _ := m.crash(first)
			m.deliverTo(first, 0, nodes-entries, ns)
			m.up[first] = true
			m.send(5, fp, first+1)
			m.send(6, fp, first+2)
			if len(m.runs) != 1 || m.runs[0].at == first {
				t.Fatalf("request %d, crash at %d: runs %+v", i, first, m.runs)
			}
		}
	}
}

// A harmless suspect must run if its node can't determine the selected endpoint, or if its crashes
// prove nothing. Otherwise it would be refused for ten minutes.
func TestPinnedRefusesOnlyForOtherEndpoints(t *testing.T) {
	m, fp := newMesh(2), request("harmless")
	m.send(0, fp, 0)
	ns, _ := m.crash(0)
	m.deliverAll(0, ns)
	for name, tt := range map[string]struct {
		fp     Fingerprint
		chosen string
		pinned bool
	}{
		"another endpoint": {fp, endpointID(0), true},
		"this endpoint":    {fp, endpointID(1), false},
		"unknown":          {fp, "", false},
		"no suspect":       {request("other"), endpointID(0), false},
	} {
		r := m.lists[1].Pinned(m.now, tt.fp, "b", func(avoid []string) string {
			if !slices.Equal(avoid, []string{endpointID(0)}) {
				t.Errorf("%s: avoid is %v", name, avoid)
			}
			return tt.chosen
		})
		if (r != nil) != tt.pinned || r != nil && r.RetryAfter <= 0 {
			t.Errorf("%s: got %v", name, r)
		}
	}
}

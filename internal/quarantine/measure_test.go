package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The rule of two needs alerts that are faster than resends. This measures what
// happens when they are not, next to no quarantine at all.
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
		for _, late := range []time.Duration{c.alert, time.Second} {
			before, beforeWorst := downs(c.callers, c.resend, c.alert, late, true, true)
			after, afterWorst := downs(c.callers, c.resend, c.alert, late, true, false)
			t.Logf("%2d callers, a resend each %v, alerts after %v, at other entry nodes %v: entry alone %.2f on average, %d at worst; checked %.2f, %d",
				c.callers, c.resend, c.alert, late, before, beforeWorst, after, afterWorst)
			if after > before || afterWorst > beforeWorst {
				t.Errorf("the check takes down more")
			}
		}
		ours, worst := downs(c.callers, c.resend, c.alert, c.alert, true, false)
		base, _ := downs(c.callers, c.resend, c.alert, c.alert, false, false)
		t.Logf("%2d callers, a resend each %v, alerts after %v: taken down %.2f on average, %d at worst; without quarantine %.1f in 5 s",
			c.callers, c.resend, c.alert, ours, worst, base)
		if ours >= base {
			t.Errorf("no better than without")
		}
		if c.callers == 1 && worst > 2 {
			t.Errorf("one caller took down %d", worst)
		}
	}
}

// downs returns how many backend servers one bad request took down, as a mean
// over seeds and at worst. Callers send it again some time after it broke or was
// refused.
func downs(callers int, resend, alert, late time.Duration, quarantine, unchecked bool) (mean float64, worst int) {
	const seeds = 10
	for seed := range uint64(seeds) {
		n := downsOnce(rand.New(rand.NewPCG(1, seed)), callers, resend, alert, late, quarantine, unchecked)
		mean += float64(n) / seeds
		worst = max(worst, n)
	}
	return mean, worst
}

// timed is something that happens in downsOnce at a moment.
type timed struct {
	at  time.Time
	run func()
}

const (
	crashAfter   = 5 * time.Millisecond // from the start of the bad request
	restartAfter = 2 * time.Second
)

// Callers come in through the last nodes, which hold no endpoint and hear of a
// crash after late.
func downsOnce(rng *rand.Rand, callers int, resend, alert, late time.Duration, quarantine, unchecked bool) int {
	const nodes, endpoints = 40, 20
	m, bad := newMesh(nodes), request("bad")
	m.unchecked = unchecked
	for i := endpoints; i < nodes; i++ {
		m.up[i] = false
	}
	var todo []timed
	after := func(d time.Duration, run func()) { todo = append(todo, timed{m.now.Add(d), run}) }
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
		after(alert, func() { m.tellSome(at, 0, endpoints, ns) })
		after(late, func() { m.tellSome(at, endpoints, nodes, ns) })
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
			return m.downs
		}
		todo = slices.Delete(todo, next, next+1)
		m.now = e.at
		e.run()
	}
}

// A third backend server goes down although all alerts were in time. The first
// one to crash restarts while the suspect runs alone at its chosen endpoint; if
// the choice moved to the restarted one, a resend would run beside it.
func TestChosenEndpointStaysWhenTheCrashedOneReturns(t *testing.T) {
	const nodes = 5
	for i := range 20 {
		fp := request(fmt.Sprint(i))
		for first := range nodes {
			m := newMesh(nodes)
			m.send(0, fp, first)
			ns, _ := m.crash(first)
			m.tellAll(first, ns)
			before := m.choose(1, fp, 0)
			m.up[first] = true
			if after := m.choose(2, fp, 3); after != before || after == first {
				t.Fatalf("chosen %d, and %d after %d came back", before, after, first)
			}
		}
	}
}

// A third backend server goes down after one crash that all nodes of the service
// heard of. Two copies come at one moment through entry nodes that have not heard
// of it; each sends its copy to another endpoint, and both go down.
func TestCopiesThroughNodesThatKnowLess(t *testing.T) {
	const nodes, entries = 7, 2
	for i := range 20 {
		fp := request(fmt.Sprint(i))
		for first := range nodes - entries {
			m := newMesh(nodes)
			m.up[5], m.up[6] = false, false
			m.send(0, fp, first)
			ns, _ := m.crash(first)
			m.tellSome(first, 0, nodes-entries, ns)
			m.up[first] = true
			m.send(5, fp, first+1)
			m.send(6, fp, first+2)
			if len(m.runs) != 1 || m.runs[0].at == first {
				t.Fatalf("request %d, crash at %d: runs %+v", i, first, m.runs)
			}
		}
	}
}

// A harmless suspect is refused for ten minutes, since the node that it comes to
// can't tell which endpoint is chosen, or since a crash that proves nothing put
// it on the list. It must be run.
func TestPinnedRefusesOnlyWhatRunsElsewhere(t *testing.T) {
	m, fp := newMesh(2), request("harmless")
	m.send(0, fp, 0)
	ns, _ := m.crash(0)
	m.tellAll(0, ns)
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
				t.Errorf("%s: avoids %v", name, avoid)
			}
			return tt.chosen
		})
		if (r != nil) != tt.pinned || r != nil && r.RetryAfter <= 0 {
			t.Errorf("%s: got %v", name, r)
		}
	}
}

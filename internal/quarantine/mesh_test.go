package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/membership"
)

// mesh models nodes with one backend server each. Every node is an entry node
// too. Alerts reach the other nodes when deliver is called for them.
type mesh struct {
	now   time.Time
	lists []*List
	up    []bool
	runs  []meshRun
	downs int // backend servers taken down
	// unchecked leaves the choice of a suspect's endpoint to entry nodes.
	unchecked bool
}

type meshRun struct {
	fp  Fingerprint
	tok Token
	at  int
}

func vm(i int) string { return fmt.Sprint("vm", i) }

func newMesh(n int) *mesh {
	m := &mesh{now: start}
	for i := range n {
		m.lists = append(m.lists, newList(vm(i)))
		m.up = append(m.up, true)
	}
	return m
}

func endpointID(i int) string { return vm(i) + "/b" }

// choose picks where an entry node sends a request, as the proxy does; -1 for
// nowhere.
func (m *mesh) choose(entry int, fp Fingerprint, random int) int {
	l := m.lists[entry]
	if _, blocked := l.Blocked(m.now, fp); blocked {
		return -1
	}
	if l.Isolated(m.now, fp) {
		if at := m.home(fp, l.CrashedAt(m.now, fp)); at >= 0 {
			return at
		}
		return m.home(fp, nil)
	}
	for i := range m.lists {
		if j := (random + i) % len(m.lists); m.up[j] {
			return j
		}
	}
	return -1
}

func (m *mesh) home(fp Fingerprint, not []string) int {
	best, bestRank := -1, uint64(0)
	for i := range m.lists {
		id := endpointID(i)
		if !m.up[i] || slices.Contains(not, id) {
			continue
		}
		if r := xxhash.Sum64String(fp.String() + id); best < 0 || r > bestRank {
			best, bestRank = i, r
		}
	}
	return best
}

// send starts a run and reports whether it was started.
func (m *mesh) send(entry int, fp Fingerprint, random int) bool {
	at := m.choose(entry, fp, random)
	var pinned []string
	for range MaxPinnedRefusals {
		if at < 0 || !m.pinnedElsewhere(at, fp) {
			break
		}
		pinned = append(pinned, endpointID(at))
		at = m.home(fp, append(m.lists[entry].CrashedAt(m.now, fp), pinned...))
	}
	if at < 0 {
		return false
	}
	tok, err := m.lists[at].Start(m.now, fp, "b", Request{Method: "POST", Path: "/x"})
	if err != nil {
		return false
	}
	m.runs = append(m.runs, meshRun{fp, tok, at})
	return true
}

// pinnedElsewhere reports whether the destination refuses a suspect.
func (m *mesh) pinnedElsewhere(at int, fp Fingerprint) bool {
	if m.unchecked {
		return false
	}
	return m.lists[at].Pinned(m.now, fp, "b", func(avoid []string) string {
		if home := m.home(fp, avoid); home >= 0 {
			return endpointID(home)
		}
		return ""
	}) != nil
}

// answer ends run i well.
func (m *mesh) answer(i int) {
	r := m.runs[i]
	m.runs = slices.Delete(m.runs, i, i+1)
	m.lists[r.at].Done(m.now, r.tok, Answered)
}

// crash takes a backend server down and returns what its node alerts of, and
// what was in flight.
func (m *mesh) crash(at int) ([]membership.Notice, []Fingerprint) {
	var lost []Fingerprint
	m.runs = slices.DeleteFunc(m.runs, func(r meshRun) bool {
		if r.at != at {
			return false
		}
		lost = append(lost, r.fp)
		m.lists[at].Done(m.now, r.tok, Broken)
		return true
	})
	m.up[at] = false
	m.downs++
	return m.lists[at].Crashed(m.now, "b"), lost
}

func (m *mesh) tell(from, to int, ns []membership.Notice) {
	m.lists[to].MergeNotices(m.now, vm(from), ns)
}

func (m *mesh) tellAll(from int, ns []membership.Notice) {
	for to := range m.lists {
		m.tell(from, to, ns)
	}
}

// tellSome tells the nodes from first up to last.
func (m *mesh) tellSome(from, first, last int, ns []membership.Notice) {
	for to := first; to < last; to++ {
		m.tell(from, to, ns)
	}
}

// A few resends of one request take down a service, or all bookings are refused
// after one bad one. Callers send a bad request and harmless ones through any
// nodes, runs end in any order, and backend servers come back. If an alert
// arrives before the next run of the bad request elsewhere, it takes down two
// at most, and whatever was in flight at fewer than two crashes is not refused.
func TestOneBadRequestTakesDownTwoAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 5
		m := newMesh(nodes)
		bad := request("bad")
		good := []Fingerprint{request("g0"), request("g1"), request("g2"), request("g3")}
		crashes := map[Fingerprint]int{}
		for range 60 {
			m.now = m.now.Add(10 * time.Millisecond)
			switch rapid.SampledFrom([]string{"bad", "good", "good", "end", "end", "restart", "notices"}).Draw(t, "step") {
			case "bad":
				if m.downs == 0 && m.running(bad) {
					// Before the first crash nobody can know; the
					// assumption is that it does not run elsewhere.
					continue
				}
				m.send(rapid.IntRange(0, nodes-1).Draw(t, "entry"), bad, rapid.IntRange(0, nodes-1).Draw(t, "to"))
			case "good":
				m.send(rapid.IntRange(0, nodes-1).Draw(t, "entry"), rapid.SampledFrom(good).Draw(t, "which"), rapid.IntRange(0, nodes-1).Draw(t, "to"))
			case "end":
				if len(m.runs) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(m.runs)-1).Draw(t, "run")
				if r := m.runs[i]; r.fp != bad {
					m.answer(i)
					continue
				}
				at := m.runs[i].at
				ns, lost := m.crash(at)
				for _, fp := range slices.Compact(slices.SortedFunc(slices.Values(lost), compareFP)) {
					crashes[fp]++
				}
				m.tellAll(at, ns)
			case "restart":
				m.up[rapid.IntRange(0, nodes-1).Draw(t, "node")] = true
			case "notices":
				from := rapid.IntRange(0, nodes-1).Draw(t, "from")
				m.tell(from, rapid.IntRange(0, nodes-1).Draw(t, "told"), m.lists[from].Notices(m.now))
			}
			if m.downs > 2 {
				t.Fatalf("%d backend servers taken down", m.downs)
			}
			m.checkGood(t, good, crashes)
		}
	})
}

func compareFP(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }

func (m *mesh) running(fp Fingerprint) bool {
	return slices.ContainsFunc(m.runs, func(r meshRun) bool { return r.fp == fp })
}

func (m *mesh) checkGood(t *rapid.T, good []Fingerprint, crashes map[Fingerprint]int) {
	for _, fp := range good {
		if crashes[fp] >= 2 {
			continue
		}
		for i, l := range m.lists {
			if e, blocked := l.Blocked(m.now, fp); blocked {
				t.Fatalf("%s blocks a request of %d crashes: %+v", vm(i), crashes[fp], e)
			}
		}
	}
}

// Two nodes hold different things true of a request because notices reached
// them in another order. What they come to hold must not depend on it.
func TestNoticesCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fp := request("x")
		var all []membership.Notice
		for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
			l := newList(vm(i))
			for range rapid.IntRange(1, 2).Draw(t, "crashes") {
				tok, err := l.Start(start, fp, "b", Request{})
				if err != nil {
					break
				}
				l.Done(start, tok, Broken)
				l.Crashed(start, "b")
				all = append(all, l.Notices(start)...)
			}
			if rapid.Bool().Draw(t, "lifted") {
				if err := l.Lift(start, fp, "op"); err != nil {
					t.Fatal(err)
				}
				all = append(all, l.Notices(start)...)
			}
		}
		a, b := newList("a"), newList("b")
		a.MergeNotices(start, "other", all)
		for _, n := range rapid.Permutation(all).Draw(t, "order") {
			b.MergeNotices(start, "other", []membership.Notice{n})
			b.MergeNotices(start, "other", []membership.Notice{n})
		}
		x, y := a.Entries(start)[0], b.Entries(start)[0]
		if x.Kind != y.Kind || !x.same(&y) {
			t.Fatalf("%+v\n%+v", x, y)
		}
	})
}

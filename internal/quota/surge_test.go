package quota

import (
	"fmt"
	"testing"
	"time"
)

// nearQuotaMesh is a mesh of a few nodes and one collector, all of whose calls are of one workspace
// with a quota of 100 calls a second.
type nearQuotaMesh struct {
	now     time.Time
	nodes   []*Limiter
	c       *Collector
	limits  map[string]Limit
	refused int
}

func newNearQuotaMesh() *nearQuotaMesh {
	m := &nearQuotaMesh{now: time.Unix(1e6, 0), c: NewCollector()}
	m.limits = map[string]Limit{"w": Policy{Window: window, Overage: overage, Slack: slackCalls}.Limit(100, 0)}
	for range 10 {
		m.nodes = append(m.nodes, NewLimiter(m.now))
	}
	return m
}

// calls has so many calls enter at each node, and returns how many pass.
func (m *nearQuotaMesh) calls(each int) int {
	passed := 0
	for range each {
		for _, n := range m.nodes {
			if n.Admit("w") {
				passed++
			} else {
				m.refused++
			}
		}
	}
	return passed
}

// settle plays half a minute at nine tenths of the quota, and counts those refused once it knows it.
func (m *nearQuotaMesh) settle() {
	const every = time.Second / 9
	for i := range 270 {
		if i == 90 {
			m.refused = 0
		}
		m.now = m.now.Add(every)
		m.calls(1)
		if i%3 == 2 { // each third of a second
			for j, n := range m.nodes {
				m.c.AddNodeReport(m.now, fmt.Sprint(j), 1, n.Report(m.now))
				n.Apply(m.c.Decide(m.now, m.limits))
			}
		}
	}
}

// tolerance is what the users let pass in a window beyond the quota.
func (m *nearQuotaMesh) tolerance() int {
	l := m.limits["w"]
	return int(allowedBy(l) - l.Rate*window.Seconds())
}

// Guards against a surge of a workspace near its quota that uses up the whole tolerance before the
// first answer of a collector.
func TestSurgeNearTheQuotaWaitsForTheAnswer(t *testing.T) {
	m := newNearQuotaMesh()
	m.settle()
	if got, want := m.calls(20), m.tolerance(); got > want {
		t.Errorf("%d of %d calls pass before an answer, %d are the tolerance", got, 20*len(m.nodes), want)
	}
}

// Guards against refused calls of a workspace near its quota that sends as it always does.
func TestCallsNearTheQuotaPass(t *testing.T) {
	m := newNearQuotaMesh()
	m.settle()
	if m.refused > 0 {
		t.Errorf("%d of %d calls were refused", m.refused, 180*len(m.nodes))
	}
}

// Guards against the same surge where no collector answers, until nodes go on by themselves.
func TestSurgeNearTheQuotaWithoutAnAnswer(t *testing.T) {
	m := newNearQuotaMesh()
	m.settle()
	reached, passed := m.now, 0
	for m.now.Before(reached.Add(FallbackAfter - MinReportInterval)) {
		passed += m.calls(4)
		m.now = m.now.Add(MinReportInterval)
		for _, n := range m.nodes {
			n.Report(m.now)
			n.ApplyFallback(Fallback{
				SinceReport: MinReportInterval, SinceAnswer: m.now.Sub(reached), Nodes: len(m.nodes), Limits: m.limits,
				LastAnswered: []Usage{{Workspace: "w", AverageRate: 9}},
			})
		}
	}
	within := m.tolerance() + int(m.limits["w"].Rate*m.now.Sub(reached).Seconds())
	if passed > within {
		t.Errorf("%d calls pass without an answer, %d are within the quota and the tolerance", passed, within)
	}
}

// Guards against a surge of a workspace at its limit beside a lost collector: the nodes that reach
// one and those that don't together let more pass than the quota.
func TestSurgeAtTheLimitBesideALostCollector(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, 36, 3, 12, 400)
		const name = "w03"
		const lowered, hot, lost = 3 * time.Second, 12 * time.Second, 12200 * time.Millisecond
		s.hot(8.8, hot, hot+3*time.Second, name)
		s.lost = func(dc int, at time.Duration) bool { return dc == 2 && at >= lost && at < lost+3*time.Second }
		s.run(lowered)
		l := s.limits[name]
		s.limits[name] = Limit{Rate: l.Rate / 2, Burst: l.Burst / 2}
		s.run(15 * time.Second)
		if got, want := most(since(s.passed[name], lowered+settlesIn)), s.allowed(name); float64(got) > want {
			t.Errorf("seed %d: %d calls passed in a window, %.0f allowed", seed, got, want)
		}
	}
}

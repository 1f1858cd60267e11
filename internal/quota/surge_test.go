package quota

import (
	"fmt"
	"testing"
	"time"
)

// nearQuotaMesh is a mesh of ten nodes and one collector, with one workspace that has a quota of 100
// calls per second.
type nearQuotaMesh struct {
	now       time.Time
	nodes     []*Limiter
	collector *Collector
	limits    map[string]Limit
	refused   int
}

func newNearQuotaMesh() *nearQuotaMesh {
	m := &nearQuotaMesh{now: time.Unix(1e6, 0), collector: NewCollector()}
	m.limits = map[string]Limit{"w": Policy{Window: window, Overage: overage, Slack: slackCalls}.Limit(100, 0)}
	for range 10 {
		m.nodes = append(m.nodes, NewLimiter(m.now))
	}
	return m
}

// calls sends a number of calls to each node, and returns how many are admitted.
func (m *nearQuotaMesh) calls(each int) int {
	admitted := 0
	for range each {
		for _, n := range m.nodes {
			if n.Admit("w") {
				admitted++
			} else {
				m.refused++
			}
		}
	}
	return admitted
}

// settle simulates 30 s at nine tenths of the quota, and counts the calls refused after the first 10.
func (m *nearQuotaMesh) settle() {
	const every = time.Second / 9
	for i := range 270 {
		if i == 90 {
			m.refused = 0
		}
		m.now = m.now.Add(every)
		m.calls(1)
		if i%3 == 2 { // every third of a second
			for j, n := range m.nodes {
				m.collector.AddNodeReport(m.now, fmt.Sprint(j), 1, n.Report(m.now))
				n.Apply(m.collector.Decide(m.now, m.limits))
			}
		}
	}
}

// tolerance returns how many calls beyond the quota the users allow in a window.
func (m *nearQuotaMesh) tolerance() int {
	l := m.limits["w"]
	return int(allowedBy(l) - l.Rate*window.Seconds())
}

// Guards against a surge of a workspace near its quota that exceeds the whole tolerance before the
// first answer of a collector.
func TestSurgeNearTheQuotaWaitsForTheAnswer(t *testing.T) {
	m := newNearQuotaMesh()
	m.settle()
	if got, want := m.calls(20), m.tolerance(); got > want {
		t.Errorf("%d of %d calls admitted before an answer, the tolerance is %d", got, 20*len(m.nodes), want)
	}
}

// Guards against refused calls of a workspace with a steady rate near its quota.
func TestCallsNearTheQuotaPass(t *testing.T) {
	m := newNearQuotaMesh()
	m.settle()
	if m.refused > 0 {
		t.Errorf("%d of %d calls were refused", m.refused, 180*len(m.nodes))
	}
}

// Guards against the same surge while no collector answers, before nodes fall back to local limits.
func TestSurgeNearTheQuotaWithoutAnAnswer(t *testing.T) {
	m := newNearQuotaMesh()
	m.settle()
	answeredAt, admitted := m.now, 0
	for m.now.Before(answeredAt.Add(FallbackAfter - MinReportInterval)) {
		admitted += m.calls(4)
		m.now = m.now.Add(MinReportInterval)
		for _, n := range m.nodes {
			n.Report(m.now)
			n.ApplyFallback(Fallback{
				SinceReport: MinReportInterval, SinceAnswer: m.now.Sub(answeredAt), Nodes: len(m.nodes), Limits: m.limits,
				LastAnswered: []Usage{{Workspace: "w", AverageRate: 9}},
			})
		}
	}
	allowed := m.tolerance() + int(m.limits["w"].Rate*m.now.Sub(answeredAt).Seconds())
	if admitted > allowed {
		t.Errorf("%d calls admitted without an answer, quota and tolerance allow %d", admitted, allowed)
	}
}

// Guards against a surge of a workspace at its limit while one collector is unreachable: nodes with
// and without a collector together admit more than the quota.
func TestSurgeAtTheLimitBesideALostCollector(t *testing.T) {
	for seed := range uint64(10) {
		s := newSim(seed, 36, 3, 12, 400)
		const name = "w03"
		const lowered, hot, collectorDown = 3 * time.Second, 12 * time.Second, 12200 * time.Millisecond
		s.hot(8.8, hot, hot+3*time.Second, name)
		s.collectorDown = func(dc int, at time.Duration) bool {
			return dc == 2 && at >= collectorDown && at < collectorDown+3*time.Second
		}
		s.run(lowered)
		l := s.limits[name]
		s.limits[name] = Limit{Rate: l.Rate / 2, Burst: l.Burst / 2}
		s.run(15 * time.Second)
		if got, want := maxInWindow(since(s.admitted[name], lowered+settleTime)), s.allowed(name); float64(got) > want {
			t.Errorf("seed %d: %d calls admitted in a window, %.0f allowed", seed, got, want)
		}
	}
}

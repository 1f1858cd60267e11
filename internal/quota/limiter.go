package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualOver is the time over which the usual rate of calls is averaged.
	usualOver = 5 * time.Second
	// surgeTimes and surgeCalls tell a surge: so many times the usual calls since the last
	// report, and so many more.
	surgeTimes = 2
	surgeCalls = 4
	// overTimes and overCalls tell the same of a workspace that has used up its quota.
	overTimes = 1.5
	overCalls = 2
	// saveUpFor is the time for which a node without a collector saves up tokens.
	saveUpFor = time.Second
)

// Usage is what calls of one workspace there were at one node, or in a data centre.
type Usage struct {
	Workspace string
	// RecentRate is the rate of the calls asked for since the last report, a second, and AverageRate
	// their moving mean.
	RecentRate, AverageRate float64
	// Admitted counts the calls that passed since the start. It falls where calls that passed
	// were not run.
	Admitted int64
}

// Admission is the share of a workspace's calls that may pass, 0 to 1.
type Admission struct {
	Workspace string
	Ratio     float64
}

// Limiter decides which calls of a workspace pass at one node. It is safe for concurrent use.
type Limiter struct {
	meters sync.Map // workspace to *meter
	surge  chan struct{}
	mu     sync.Mutex // serialises reports
	told   time.Time
}

// meter counts the calls of one workspace.
type meter struct {
	asked, admitted atomic.Int64
	// part holds the bits of the share that may pass.
	part atomic.Uint64
	// passed sums up the parts of the calls asked for, in units of passUnit. A call passes
	// where the sum steps over a whole unit, so that even few calls pass by their part.
	passed atomic.Uint64
	// alone is set while calls pass by tokens, also in units of passUnit.
	alone  atomic.Bool
	tokens atomic.Int64
	// surgeAt is the count of calls asked for that makes a surge.
	surgeAt atomic.Int64

	// Guarded by the limiter.
	reported int64 // calls asked for, at the last report
	usual    float64
	surging  bool // at the last report
}

// passUnit is one call in meter.passed.
const passUnit = 1 << 32

// NewLimiter returns a limiter that lets all calls pass.
func NewLimiter(now time.Time) *Limiter {
	return &Limiter{surge: make(chan struct{}, 1), told: now}
}

// Surge receives an element when calls come much faster than usual, or again after a rest, and
// are to be reported.
func (l *Limiter) Surge() <-chan struct{} { return l.surge }

func (l *Limiter) meter(workspace string) *meter {
	if m, ok := l.meters.Load(workspace); ok {
		return m.(*meter)
	}
	fresh := new(meter)
	fresh.set(1)
	fresh.passed.Store(uint64(rand.Uint32()))
	fresh.surgeAt.Store(1) // the first call is to be reported soon
	m, _ := l.meters.LoadOrStore(workspace, fresh)
	return m.(*meter)
}

// Admit counts a call of a workspace, and reports whether it may pass.
func (l *Limiter) Admit(workspace string) bool {
	m := l.meter(workspace)
	if m.asked.Add(1) == m.surgeAt.Load() {
		select {
		case l.surge <- struct{}{}:
		default:
		}
	}
	if !m.passes() {
		return false
	}
	m.admitted.Add(1)
	return true
}

// Refund takes back a call that Admit let pass, and that was not run.
func (l *Limiter) Refund(workspace string) {
	l.meter(workspace).admitted.Add(-1)
}

func (m *meter) set(part float64) { m.part.Store(math.Float64bits(part)) }

func (m *meter) share() float64 { return math.Float64frombits(m.part.Load()) }

func (m *meter) passes() bool {
	if m.alone.Load() {
		if m.tokens.Add(-passUnit) >= 0 {
			return true
		}
		m.tokens.Add(passUnit)
		return false
	}
	part := m.share()
	if part >= 1 {
		return true
	}
	step := uint64(part * passUnit)
	after := m.passed.Add(step)
	return after/passUnit != (after-step)/passUnit
}

// ReportNextCall has the next call of each workspace count as a surge.
func (l *Limiter) ReportNextCall() {
	l.meters.Range(func(_, v any) bool {
		m := v.(*meter)
		m.surgeAt.Store(m.asked.Load() + 1)
		return true
	})
}

// Report returns what the calls of each workspace were since the last report, and begins anew.
func (l *Limiter) Report(now time.Time) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := now.Sub(l.told)
	if span <= 0 {
		return nil
	}
	l.told = now
	var out []Usage
	l.meters.Range(func(name, m any) bool {
		out = append(out, m.(*meter).report(name.(string), span))
		return true
	})
	return out
}

func (m *meter) report(name string, span time.Duration) Usage {
	asked := m.asked.Load()
	m.surging = asked-m.reported > m.surgeCalls(span)
	recent := float64(asked-m.reported) / span.Seconds()
	weight := 1 - math.Exp(-span.Seconds()/usualOver.Seconds())
	m.usual += weight * (recent - m.usual)
	m.reported = asked
	m.surgeAt.Store(asked + m.soonCalls())
	return Usage{Workspace: name, RecentRate: recent, AverageRate: m.usual, Admitted: m.admitted.Load()}
}

// soonCalls is how many calls since a report bring on the next one. Where a workspace has used up
// its quota, each call that passes beyond what was decided is one too many.
func (m *meter) soonCalls() int64 {
	if m.share() < 1 {
		return overCalls + int64(overTimes*m.usual*ReportInterval.Seconds())
	}
	return m.surgeCalls(ReportInterval)
}

// surgeCalls is how many calls in a span are a surge.
func (m *meter) surgeCalls(span time.Duration) int64 {
	return surgeCalls + int64(surgeTimes*m.usual*span.Seconds())
}

// Apply puts the answer of a collector in force: calls of all other workspaces pass.
func (l *Limiter) Apply(parts []Admission) {
	named := make(map[string]float64, len(parts))
	for _, p := range parts {
		named[p.Workspace] = p.Ratio
	}
	l.meters.Range(func(name, m any) bool {
		part, ok := named[name.(string)]
		if !ok {
			part = 1
		}
		m.(*meter).set(part)
		m.(*meter).alone.Store(false)
		return true
	})
	for name, part := range named {
		l.meter(name).set(part)
	}
}

// Fallback tells that a report got no answer of a collector.
type Fallback struct {
	// SinceReport is the time since the report before.
	SinceReport time.Duration
	// SinceAnswer is the time since a collector last answered; FallbackAfter or more if none ever has.
	SinceAnswer time.Duration
	// Nodes is how many nodes the mesh has.
	Nodes int
	// Limits are the quotas of the workspaces.
	Limits map[string]Limit
	// LastAnswered is the last report that was answered.
	LastAnswered []Usage
}

// ApplyFallback limits the calls while no collector answers: those of a workspace to what passed
// when one last did, or to an equal share of its quota among all nodes. The last answer holds
// for FallbackAfter, but for workspaces that send much more since.
func (l *Limiter) ApplyFallback(u Fallback) {
	usual := make(map[string]float64, len(u.LastAnswered))
	for _, a := range u.LastAnswered {
		usual[a.Workspace] = a.AverageRate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, limit := range u.Limits {
		m := l.meter(workspace)
		if u.SinceAnswer < FallbackAfter && !m.surging && !m.alone.Load() {
			continue
		}
		m.fill(limit.alone(usual[workspace], m.share(), u.Nodes), u.SinceReport)
	}
}

// alone returns what one of so many nodes may pass by itself: what usually passes there, or an
// equal share. A workspace that takes less than its quota may save up tokens for a second.
func (l Limit) alone(usual, part float64, nodes int) Limit {
	share := 1 / float64(max(nodes, 1))
	rate := usual * part
	if part < 1 || rate < l.Rate*share {
		rate = max(rate, l.Rate*share)
		return Limit{Rate: rate, Burst: max(l.Burst*rate/l.Rate, 1)}
	}
	return Limit{Rate: rate, Burst: max(rate*saveUpFor.Seconds(), 1)}
}

// fill adds the tokens of a span. The first time it begins with a random part of one: many nodes
// that begin with none, or with one, would let too few calls or too many pass.
func (m *meter) fill(limit Limit, span time.Duration) {
	if !m.alone.Load() {
		m.tokens.Store(rand.Int64N(passUnit))
		m.alone.Store(true)
		return
	}
	tokens := m.tokens.Load() + int64(limit.Rate*span.Seconds()*passUnit)
	m.tokens.Store(min(tokens, int64(limit.Burst*passUnit)))
}

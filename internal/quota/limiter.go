package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// averageOver is the time constant of the average rate.
	averageOver = 5 * time.Second
	// surgeFactor and surgeCalls define a surge: more calls since the last report than this
	// multiple of the average, plus this many.
	surgeFactor = 2
	surgeCalls  = 4
	// limitedSurgeFactor and limitedSurgeCalls define the same for a workspace over its quota.
	limitedSurgeFactor = 1.5
	limitedSurgeCalls  = 2
	// fallbackBurst is the time for which a node without a collector accumulates tokens.
	fallbackBurst = time.Second
)

// Usage holds the calls of one workspace at one node, or in a data centre.
type Usage struct {
	Workspace string
	// RecentRate is the rate of requested calls per second since the last report, and AverageRate
	// its moving average.
	RecentRate, AverageRate float64
	// Admitted counts the calls admitted since the start. Refunds lower it.
	Admitted int64
	// OverdueRate is the part of RecentRate that is of overdue calls.
	OverdueRate float64
	// Waiting is how many calls wait for the answer to the report.
	Waiting int
}

// Admission is the decision on the calls of one workspace.
type Admission struct {
	Workspace string
	// Ratio is the ratio of calls to admit, 0 to 1.
	Ratio float64
	// Split divides these among calls that can be in time and overdue ones; nil means the same ratio
	// for both.
	Split *Split
	// Hold bounds the admitted calls until the next answer; nil means no bound.
	Hold *Hold
}

// Limiter decides which calls of a workspace one node admits. It is safe for concurrent use.
type Limiter struct {
	meters     sync.Map // workspace to *meter
	surge      chan struct{}
	applied    broadcast
	clock      atomic.Int64 // of the last report, in nanoseconds since 1970
	mu         sync.Mutex   // serialises reports
	lastReport time.Time
	startedAt  time.Time
}

// meter counts and limits the calls of one workspace.
type meter struct {
	requested, admitted atomic.Int64
	overdue             atomic.Int64  // requested calls that were overdue
	ratio               atomic.Uint64 // bits of the admission ratio
	inTimeGate          ratioGate
	overdueGate         ratioGate
	retryAfter          atomic.Int64 // in nanoseconds
	// fallback is set while calls are admitted by tokens, also in units of callUnit.
	fallback atomic.Bool
	tokens   atomic.Int64
	// surgeAt is the count of requested calls that triggers an early report.
	surgeAt atomic.Int64
	hold    holdState

	// Guarded by the limiter.
	reported        int64 // requested calls at the last report
	reportedOverdue int64
	earlier         []sample
	averageRate     float64
	surging         bool // at the last report
}

// callUnit is one call in meter.accumulated and meter.tokens.
const callUnit = 1 << 32

// NewLimiter returns a limiter that admits all calls.
func NewLimiter(now time.Time) *Limiter {
	l := &Limiter{surge: make(chan struct{}, 1), lastReport: now, startedAt: now}
	l.clock.Store(now.UnixNano())
	return l
}

// Surge receives an element when a report is due early: on a surge of calls, on the first call of a
// workspace, and on the first one after ReportNextCall.
func (l *Limiter) Surge() <-chan struct{} { return l.surge }

func (l *Limiter) meter(workspace string) *meter {
	if m, ok := l.meters.Load(workspace); ok {
		return m.(*meter)
	}
	fresh := new(meter)
	fresh.setRatio(1)
	for _, gate := range []*ratioGate{&fresh.inTimeGate, &fresh.overdueGate} {
		gate.set(1)
		gate.accumulated.Store(uint64(rand.Uint32()))
	}
	fresh.surgeAt.Store(1) // the first call triggers a report
	m, _ := l.meters.LoadOrStore(workspace, fresh)
	return m.(*meter)
}

// Admit counts a call of a workspace, and reports whether it is admitted at once.
func (l *Limiter) Admit(workspace string) bool {
	m := l.meter(workspace)
	verdict := l.ask(l.clock.Load(), m, false)
	if verdict == Waiting {
		m.hold.leave()
	}
	return verdict == Admitted
}

func (l *Limiter) ask(now int64, m *meter, overdue bool) Verdict {
	if overdue {
		m.overdue.Add(1)
	}
	if m.requested.Add(1) == m.surgeAt.Load() {
		l.reportEarly()
	}
	if !m.admit(overdue) {
		return Refused
	}
	if !m.fallback.Load() && !m.hold.admit(now) {
		l.reportEarly()
		return Waiting
	}
	m.admitted.Add(1)
	return Admitted
}

func (l *Limiter) reportEarly() {
	select {
	case l.surge <- struct{}{}:
	default:
	}
}

// Refund uncounts a call that was admitted but not run.
func (l *Limiter) Refund(workspace string) {
	l.meter(workspace).admitted.Add(-1)
}

func (m *meter) setRatio(ratio float64) { m.ratio.Store(math.Float64bits(ratio)) }

func (m *meter) admissionRatio() float64 { return math.Float64frombits(m.ratio.Load()) }

func (m *meter) admit(overdue bool) bool {
	if m.fallback.Load() {
		if m.tokens.Add(-callUnit) >= 0 {
			return true
		}
		m.tokens.Add(callUnit)
		return false
	}
	if overdue {
		return m.overdueGate.admit()
	}
	return m.inTimeGate.admit()
}

// ReportNextCall makes the next call of each workspace trigger an early report.
func (l *Limiter) ReportNextCall() {
	l.meters.Range(func(_, v any) bool {
		m := v.(*meter)
		m.surgeAt.Store(m.requested.Load() + 1)
		return true
	})
}

// Report returns the usage of each workspace since the last report.
func (l *Limiter) Report(now time.Time) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := now.Sub(l.lastReport)
	if span <= 0 {
		return nil
	}
	l.lastReport = now
	l.clock.Store(now.UnixNano())
	var out []Usage
	l.meters.Range(func(name, m any) bool {
		out = append(out, m.(*meter).report(now, name.(string), span, now.Sub(l.startedAt)))
		return true
	})
	return out
}

// averageWarmUp is how much longer than its age a new node averages its calls over. Without it, the
// first call of a node would count as a rate of several calls per second.
const averageWarmUp = time.Second

// averageWeight returns the weight of the last span in the average rate of a node of a given age. A
// young node averages over its age: otherwise its rate would be too low for seconds after a start, and
// its calls would be refused while their workspace is held.
func averageWeight(span, age time.Duration) float64 {
	return max(1-math.Exp(-span.Seconds()/averageOver.Seconds()), span.Seconds()/(age+averageWarmUp).Seconds())
}

func (m *meter) report(now time.Time, name string, span, age time.Duration) Usage {
	requested := m.requested.Load()
	m.surging = requested-m.reported > m.surgeCalls(span)
	m.averageRate += averageWeight(span, age) * (float64(requested-m.reported)/span.Seconds() - m.averageRate)
	overdue := m.overdue.Load()
	recent, recentOverdue := m.recentRates(sample{now.Add(-span), m.reported, m.reportedOverdue}, sample{now, requested, overdue})
	m.reported, m.reportedOverdue = requested, overdue
	m.surgeAt.Store(requested + m.earlyReportCalls())
	admitted, waiting := m.hold.report(now, &m.admitted)
	return Usage{Workspace: name, RecentRate: recent, AverageRate: m.averageRate, Admitted: admitted, OverdueRate: recentOverdue, Waiting: waiting}
}

// WithoutRates returns usage with the same counts of calls and without rates, for a collector that a
// node no longer reports to.
func WithoutRates(usage []Usage) []Usage {
	out := make([]Usage, len(usage))
	for i, u := range usage {
		out[i] = Usage{Workspace: u.Workspace, Admitted: u.Admitted}
	}
	return out
}

// sample is a count of requested calls, and of the overdue ones among them.
type sample struct {
	at                 time.Time
	requested, overdue int64
}

// recentRates returns the rates of requested and of overdue calls over at least ReportInterval. A
// waiting call triggers a report, and the rate over the short time before it would be many times the
// usual one.
func (m *meter) recentRates(last, now sample) (requested, overdue float64) {
	m.earlier = append(m.earlier, last)
	for len(m.earlier) > 1 && now.at.Sub(m.earlier[1].at) >= ReportInterval {
		m.earlier = slices.Delete(m.earlier, 0, 1)
	}
	from := m.earlier[0]
	span := now.at.Sub(from.at).Seconds()
	return float64(now.requested-from.requested) / span, float64(now.overdue-from.overdue) / span
}

// earlyReportCalls returns how many calls after a report trigger the next one. Fewer do for a
// workspace over its quota, where every admitted call beyond the decision is in excess.
func (m *meter) earlyReportCalls() int64 {
	if m.admissionRatio() < 1 {
		return limitedSurgeCalls + int64(limitedSurgeFactor*m.averageRate*ReportInterval.Seconds())
	}
	return m.surgeCalls(ReportInterval)
}

// surgeCalls returns how many calls in a span are a surge.
func (m *meter) surgeCalls(span time.Duration) int64 {
	return surgeCalls + int64(surgeFactor*m.averageRate*span.Seconds())
}

// Apply puts the decision of a collector in force, and lets waiting calls ask again. All calls of
// workspaces that it doesn't list are admitted.
func (l *Limiter) Apply(admissions []Admission) {
	l.mu.Lock()
	listed := make(map[string]Admission, len(admissions))
	for _, a := range admissions {
		listed[a.Workspace] = a
		l.meter(a.Workspace)
	}
	l.meters.Range(func(name, v any) bool {
		m := v.(*meter)
		a, ok := listed[name.(string)]
		if !ok {
			a.Ratio = 1
		}
		m.setRatio(a.Ratio)
		m.split(a)
		m.hold.apply(a.Hold, m.averageRate, m.admitted.Load())
		m.fallback.Store(false)
		return true
	})
	l.mu.Unlock()
	l.applied.notify()
}

// Fallback describes a report that no collector answered.
type Fallback struct {
	// SinceReport is the time since the previous report.
	SinceReport time.Duration
	// SinceAnswer is the time since a collector last answered; FallbackAfter or more if none has.
	SinceAnswer time.Duration
	// Nodes is the number of nodes in the mesh.
	Nodes int
	// Limits holds the limits by workspace.
	Limits map[string]Limit
	// LastAnswered is the last report that was answered.
	LastAnswered []Usage
}

// ApplyFallback limits the calls while no collector answers: each workspace to its admitted rate as
// of the last answer, or to an equal share of its quota among all nodes. The last answer holds for
// FallbackAfter, except for workspaces with a surge of calls.
func (l *Limiter) ApplyFallback(f Fallback) {
	averages := make(map[string]float64, len(f.LastAnswered))
	for _, u := range f.LastAnswered {
		averages[u.Workspace] = u.AverageRate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for workspace, limit := range f.Limits {
		m := l.meter(workspace)
		if f.SinceAnswer < FallbackAfter && !m.surging && !m.fallback.Load() {
			continue
		}
		if m.hold.active() && f.SinceAnswer < nodeExpiry {
			continue // collectors reserve for this node what the last answer foresees
		}
		m.refill(limit.fallback(averages[workspace], m.admissionRatio(), f.Nodes), f.SinceReport)
	}
}

// fallback returns the limit of one node without a collector: its average admitted rate, or an equal
// share. A workspace below its quota may accumulate tokens for a second.
func (l Limit) fallback(average, ratio float64, nodes int) Limit {
	share := 1 / float64(max(nodes, 1))
	rate := average * ratio
	if ratio < 1 || rate < l.Rate*share {
		rate = max(rate, l.Rate*share)
		return Limit{Rate: rate, Burst: max(l.Burst*rate/l.Rate, 1)}
	}
	return Limit{Rate: rate, Burst: max(rate*fallbackBurst.Seconds(), 1)}
}

// refill adds the tokens of a span. The first time it starts with a random fraction of a token:
// starting with none at each of many nodes would admit too few calls, and with one too many.
func (m *meter) refill(limit Limit, span time.Duration) {
	if !m.fallback.Load() {
		m.tokens.Store(rand.Int64N(callUnit))
		m.fallback.Store(true)
		return
	}
	tokens := m.tokens.Load() + int64(limit.Rate*span.Seconds()*callUnit)
	m.tokens.Store(min(tokens, int64(limit.Burst*callUnit)))
}

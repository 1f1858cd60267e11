package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quota"
	"github.com/marlpass/marlpass/internal/wait"
)

// usageReporter holds the state of this node's usage reports to collectors.
type usageReporter struct {
	w             *workspaces
	lastCalled    time.Time     // when a workspace last had calls
	lastAnswered  time.Time     // when a collector last answered, zero if none has
	answeredUsage []quota.Usage // of the last report that was answered
	fallback      bool          // no collector has answered for quota.FallbackAfter
	lastSent      time.Time
	collector     string // the node that answered last
}

// run reports the usage of workspaces to a collector and applies its answers, until ctx ends.
func (w *workspaces) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.exchangeTotals(ctx) })
	r := &usageReporter{w: w, lastSent: time.Now()}
	for ctx.Err() == nil {
		r.awaitDue(ctx)
		r.report(ctx)
	}
}

// awaitDue waits until the next report is due.
func (r *usageReporter) awaitDue(ctx context.Context) {
	var due <-chan time.Time
	if !r.idle(time.Now()) {
		timer := time.NewTimer(r.w.reportInterval())
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-r.w.limiter.Surge():
		r.awaitGap(ctx)
	case <-due:
	}
}

// awaitGap waits until an early report may follow the last one.
func (r *usageReporter) awaitGap(ctx context.Context) {
	gap := time.NewTimer(quota.MinReportInterval - time.Since(r.lastSent))
	defer gap.Stop()
	select {
	case <-ctx.Done():
	case <-gap.C:
	case <-r.w.shortWait:
		_ = wait.For(ctx, r.w.shortWaitGap()-time.Since(r.lastSent))
	}
}

// shortWaitGap returns the least time between two reports while calls wait for less than
// quota.MinReportInterval. It grows with the mesh as reportInterval does.
func (w *workspaces) shortWaitGap() time.Duration {
	gap := w.reportInterval() * quota.MinWaitReportInterval / quota.ReportInterval
	return min(gap, quota.MinReportInterval)
}

// clearSignals drops the signals for an early report that the report made next answers.
func (r *usageReporter) clearSignals() {
	for _, ch := range []<-chan struct{}{r.w.limiter.Surge(), r.w.shortWait} {
		select {
		case <-ch:
		default:
		}
	}
}

// idle reports whether no workspace has had calls for quota.IdleAfter.
func (r *usageReporter) idle(now time.Time) bool { return now.Sub(r.lastCalled) > quota.IdleAfter }

// reportInterval is the time between two reports of this node.
func (w *workspaces) reportInterval() time.Duration {
	nodes := 0
	for _, r := range w.n.views.Load().Records {
		if r.VM.DataCentre == w.n.self.DataCentre {
			nodes++
		}
	}
	return max(quota.ReportInterval, time.Duration(nodes)*reportIntervalPerNode)
}

// report sends one report and applies the answer, or the fallback if no collector answers.
func (r *usageReporter) report(ctx context.Context) {
	r.clearSignals()
	now := time.Now()
	sinceReport := now.Sub(r.lastSent)
	usage := r.w.limiter.Report(now)
	r.lastSent = now
	if slices.ContainsFunc(usage, func(u quota.Usage) bool { return u.RecentRate > 0 }) {
		r.lastCalled = now
	}
	if r.idle(now) {
		r.w.limiter.ReportNextCall()
		return
	}
	admissions, ok := r.reportUsage(ctx, usage)
	if !ok {
		r.applyFallback(now, sinceReport)
		return
	}
	if r.fallback {
		r.fallback = false
		r.w.log.Info().Msg("workspaces: a collector of the quotas answers again")
	}
	r.lastAnswered, r.answeredUsage = time.Now(), usage
	r.w.limiter.Apply(admissions)
}

func (r *usageReporter) applyFallback(now time.Time, sinceReport time.Duration) {
	sinceAnswer := now.Sub(r.lastAnswered)
	if !r.fallback && sinceAnswer >= quota.FallbackAfter {
		r.fallback = true
		r.w.log.Warn().Msg("workspaces: no collector of the quotas answers, calls pass by this node's own part")
	}
	r.w.limiter.ApplyFallback(quota.Fallback{
		SinceReport: sinceReport, SinceAnswer: sinceAnswer, Nodes: len(r.w.n.views.Load().Records),
		Limits: r.w.limits(), LastAnswered: r.answeredUsage,
	})
}

// reportUsage reports to the first feeder of the data centre that answers, and returns its
// admissions.
func (r *usageReporter) reportUsage(ctx context.Context, usage []quota.Usage) ([]quota.Admission, bool) {
	w, view := r.w, r.w.n.views.Load()
	formerFailed := false
	for _, id := range distribute.PositionOf(view, w.n.self.ID, w.n.self.DataCentre).Feeders {
		admissions, err := w.reportTo(ctx, view.Records[id], id, usage)
		if err == nil {
			former := r.collector
			r.collector = id
			if former != "" && former != id && !formerFailed {
				w.leaveCollector(ctx, view.Records[former], former, usage)
			}
			return admissions, true
		}
		formerFailed = formerFailed || id == r.collector
		w.log.Debug().Str("peer", id).Err(err).Msg("workspaces: a collector does not answer, trying the next one")
	}
	return nil, false
}

// reportTo reports to the collector at a node, which may be this one.
func (w *workspaces) reportTo(ctx context.Context, to *membership.ObservedRecord, id string, usage []quota.Usage) ([]quota.Admission, error) {
	if id != w.n.self.ID {
		return w.sendUsage(ctx, to, usage, false)
	}
	return w.recordAndAnswer(id, func(now time.Time) {
		w.collector.AddNodeReport(now, id, w.n.self.Incarnation, usage)
	}), nil
}

// leaveCollector tells the former collector that this node makes no calls that it has to count. Until
// it timed out there, its rates would be counted by both collectors. to is nil if the former is gone.
func (w *workspaces) leaveCollector(ctx context.Context, to *membership.ObservedRecord, id string, usage []quota.Usage) {
	if to == nil {
		return
	}
	if _, err := w.reportTo(ctx, to, id, quota.WithoutRates(usage)); err != nil {
		w.log.Debug().Str("peer", id).Err(err).Msg("workspaces: the former collector does not answer")
	}
}

func (w *workspaces) sendUsage(ctx context.Context, to *membership.ObservedRecord, usage []quota.Usage, summed bool) ([]quota.Admission, error) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	admissions, err := w.n.control.peers.Usage(ctx, to.VM.ID, to.VM.ControlAddr, &peerpb.UsageRequest{
		Incarnation: w.n.self.Incarnation, Summed: summed, Usage: encodeUsage(usage),
	})
	return decodeAdmissions(admissions), err
}

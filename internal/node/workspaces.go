package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/follow"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quota"
	"github.com/marlpass/marlpass/internal/telemetry"
	"github.com/marlpass/marlpass/internal/wait"
)

const (
	// usageTimeout bounds a request to a collector.
	usageTimeout = 250 * time.Millisecond
	// reportIntervalPerNode, times the nodes of the data centre, is the minimum time between two
	// reports of a node, so that a collector's work does not grow with the mesh.
	reportIntervalPerNode = 8 * time.Millisecond
	// overQuotaClearAfter is the time within its quota after which a workspace is no longer logged
	// as over it.
	overQuotaClearAfter = 3 * time.Second
	// overQuotaRetryAfter is the mean retry delay sent to callers over their quota, and
	// unconfirmedRetryAfter that sent while keys are not confirmed.
	overQuotaRetryAfter   = time.Second
	unconfirmedRetryAfter = time.Second
)

// workspaces bounds the calls of workspaces: it refuses calls with a key that may have been
// revoked, and calls over the mesh-wide quota.
type workspaces struct {
	n       *Node
	log     zerolog.Logger
	limiter *quota.Limiter

	mu            sync.Mutex // guards collector and lastOverQuota
	collector     *quota.Collector
	lastOverQuota map[string]time.Time // when a workspace was last over its quota
	// reported holds an element after a report has come in.
	reported chan struct{}
	quotas   atomic.Pointer[quotas]
}

// quotas holds the limits of one version of the configuration.
type quotas struct {
	snapshot *config.Snapshot
	limits   map[string]quota.Limit
}

func newWorkspaces(n *Node) *workspaces {
	w := &workspaces{
		n: n, log: telemetry.Part(n.log, "workspaces"),
		limiter: quota.NewLimiter(time.Now()), collector: quota.NewCollector(), reported: make(chan struct{}, 1),
		lastOverQuota: make(map[string]time.Time),
	}
	w.collector.SetDataCentre(n.self.DataCentre)
	return w
}

// assuredSource is a source of versions that knows how long the version in force may have been
// outdated.
type assuredSource interface {
	AssuredAge(now time.Time) (age time.Duration, known bool)
}

var _ assuredSource = (*follow.Runner)(nil)

// CheckKeys implements proxy.Workspaces.
func (w *workspaces) CheckKeys(now time.Time) *call.Refusal {
	bound := w.n.set.Workspaces.ConfirmWithin.Duration
	versions, ok := w.n.control.distributor.(assuredSource)
	if bound == 0 || !ok {
		return nil
	}
	if age, known := versions.AssuredAge(now); known && age < bound {
		return nil
	}
	return &call.Refusal{Reason: call.ReasonUnconfirmed, RetryAfter: jitterHalf(unconfirmedRetryAfter)}
}

// Admit implements proxy.Workspaces.
func (w *workspaces) Admit(_ time.Time, ws *config.Workspace) *call.Refusal {
	if ws.RatePerSecond == 0 || w.limiter.Admit(ws.Name) || defect.On(defect.IgnoreQuota) {
		return nil
	}
	return &call.Refusal{Reason: call.ReasonOverQuota, Detail: "workspace " + ws.Name, RetryAfter: jitterHalf(overQuotaRetryAfter)}
}

// Refund implements proxy.Workspaces.
func (w *workspaces) Refund(_ time.Time, ws *config.Workspace) {
	if ws.RatePerSecond > 0 {
		w.limiter.Refund(ws.Name)
	}
}

// jitterHalf returns a random time between 0.5 and 1.5 times mean, so that callers refused at the
// same time do not retry at the same time.
func jitterHalf(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// limits returns the quotas of the configuration in force, by workspace.
func (w *workspaces) limits() map[string]quota.Limit {
	snapshot := w.n.snapshot()
	if q := w.quotas.Load(); q != nil && q.snapshot == snapshot {
		return q.limits
	}
	set := w.n.set.Workspaces
	policy := quota.Policy{Window: set.QuotaWindow.Duration, Overage: set.QuotaOverage, Slack: set.QuotaSlack}
	out := make(map[string]quota.Limit)
	for _, ws := range snapshot.Workspaces() {
		if ws.RatePerSecond > 0 {
			out[ws.Name] = policy.Limit(ws.RatePerSecond, ws.Burst)
		}
	}
	w.quotas.Store(&quotas{snapshot, out})
	return out
}

// usageReporter holds the state of this node's usage reports to collectors.
type usageReporter struct {
	w             *workspaces
	lastCalled    time.Time     // when a workspace last had calls
	lastAnswered  time.Time     // when a collector last answered, zero if none has
	answeredUsage []quota.Usage // of the last report that was answered
	fallback      bool          // no collector has answered for quota.FallbackAfter
	lastSent      time.Time
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
		_ = wait.For(ctx, quota.MinReportInterval-time.Since(r.lastSent))
	case <-due:
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
	admissions, ok := r.w.reportUsage(ctx, usage)
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
func (w *workspaces) reportUsage(ctx context.Context, usage []quota.Usage) ([]quota.Admission, bool) {
	view := w.n.views.Load()
	for _, id := range distribute.PositionOf(view, w.n.self.ID, w.n.self.DataCentre).Feeders {
		if id == w.n.self.ID {
			return w.recordAndDecide(func(now time.Time) {
				w.collector.AddNodeReport(now, id, w.n.self.Incarnation, usage)
			}), true
		}
		admissions, err := w.sendUsage(ctx, view.Records[id], usage, false)
		if err == nil {
			return admissions, true
		}
		w.log.Debug().Str("peer", id).Err(err).Msg("workspaces: a collector does not answer, trying the next one")
	}
	return nil, false
}

func (w *workspaces) sendUsage(ctx context.Context, to *membership.ObservedRecord, usage []quota.Usage, summed bool) ([]quota.Admission, error) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	admissions, err := w.n.control.peers.Usage(ctx, to.VM.ID, to.VM.ControlAddr, &peerpb.UsageRequest{
		Incarnation: w.n.self.Incarnation, Summed: summed, Usage: encodeUsage(usage),
	})
	return decodeAdmissions(admissions), err
}

// recordAndDecide adds a report to the collector and returns the resulting admissions.
func (w *workspaces) recordAndDecide(record func(now time.Time)) []quota.Admission {
	limits := w.limits()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	record(now)
	select {
	case w.reported <- struct{}{}:
	default:
	}
	admissions := w.collector.Decide(now, limits)
	w.logOverQuota(now, admissions, limits)
	return admissions
}

// logOverQuota logs workspaces that exceed their quota, and those that have been within it for
// overQuotaClearAfter. The caller holds w.mu.
func (w *workspaces) logOverQuota(now time.Time, admissions []quota.Admission, limits map[string]quota.Limit) {
	for _, p := range admissions {
		if _, known := w.lastOverQuota[p.Workspace]; !known {
			w.log.Info().Str("workspace", p.Workspace).Float64("part", p.Ratio).
				Float64("asked_per_s", w.collector.DemandRate(p.Workspace)).Float64("limit_per_s", limits[p.Workspace].Rate).
				Msg("workspaces: a workspace is over its quota")
		}
		w.lastOverQuota[p.Workspace] = now
	}
	for name, lastOver := range w.lastOverQuota {
		if now.Sub(lastOver) > overQuotaClearAfter {
			delete(w.lastOverQuota, name)
			w.log.Info().Str("workspace", name).Msg("workspaces: a workspace is within its quota again")
		}
	}
}

// Collect implements peer.Collector.
func (w *workspaces) Collect(q *peerpb.UsageRequest) []*peerpb.WorkspacePart {
	usage := decodeUsage(q.Usage)
	return encodeAdmissions(w.recordAndDecide(func(now time.Time) {
		if q.Summed {
			w.collector.AddCollectorReport(now, w.dataCentreOf(q.From), q.From, q.Incarnation, usage)
			return
		}
		w.collector.AddNodeReport(now, q.From, q.Incarnation, usage)
	}))
}

// dataCentreOf returns the data centre of a node, or its ID if the node is not in the view.
func (w *workspaces) dataCentreOf(id string) string {
	if r := w.n.views.Load().Records[id]; r != nil {
		return r.VM.DataCentre
	}
	return id
}

// exchangeTotals sends the usage totals of the nodes that report here to the other collectors.
func (w *workspaces) exchangeTotals(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.reported:
		}
		if wait.For(ctx, quota.ExchangeInterval) != nil {
			return
		}
		w.mu.Lock()
		collecting := w.collector.NodeCount() > 0
		totals := w.collector.NodeTotals()
		w.mu.Unlock()
		if !collecting {
			continue // only other collectors report to this node
		}
		view := w.n.views.Load()
		var wg sync.WaitGroup
		for _, id := range w.collectors(view) {
			wg.Go(func() {
				if _, err := w.sendUsage(ctx, view.Records[id], totals, true); err != nil {
					w.log.Debug().Str("peer", id).Err(err).Msg("workspaces: a collector did not receive the usage totals")
				}
			})
		}
		wg.Wait()
	}
}

// collectors returns the other nodes that may be collectors: the feeders of this data centre and
// the first feeders of each of the others.
func (w *workspaces) collectors(view *membership.View) []string {
	self := w.n.self
	out := distribute.FirstFeeders(view, self.ID, self.DataCentre)
	for _, id := range distribute.PositionOf(view, self.ID, self.DataCentre).Feeders {
		if id != self.ID {
			out = append(out, id)
		}
	}
	return out
}

package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
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
	// overQuotaRetryAfter is the mean retry delay sent to callers over their quota where the
	// collector states none, and
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
	held     heldCalls
	reached  reachedCentres
	// shortWait receives an element when a call begins to wait for less than quota.MinReportInterval.
	shortWait chan struct{}
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
		lastOverQuota: make(map[string]time.Time), shortWait: make(chan struct{}, 1),
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

// recordAndAnswer adds a report to the collector and returns the answer to its sender.
func (w *workspaces) recordAndAnswer(from string, record func(now time.Time)) []quota.Admission {
	limits := w.limits()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	record(now)
	w.collector.SetUnreached(w.reached.unreachedShare(now, w.n.self.DataCentre))
	select {
	case w.reported <- struct{}{}:
	default:
	}
	admissions := w.collector.Answer(now, from, limits)
	w.logOverQuota(now, admissions, limits)
	return admissions
}

// logOverQuota logs workspaces that exceed their quota, and those that have been within it for
// overQuotaClearAfter. The caller holds w.mu.
func (w *workspaces) logOverQuota(now time.Time, admissions []quota.Admission, limits map[string]quota.Limit) {
	for _, p := range admissions {
		if p.Ratio >= 1 {
			continue // near its quota, and held
		}
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
	to := q.From
	if q.Summed {
		to = "" // a collector has no calls that wait
	}
	return encodeAdmissions(w.recordAndAnswer(to, func(now time.Time) {
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
				_, err := w.sendUsage(ctx, view.Records[id], totals, true)
				if err != nil {
					w.log.Debug().Str("peer", id).Err(err).Msg("workspaces: a collector did not receive the usage totals")
				}
				w.reached.tried(time.Now(), view.Records[id].VM.DataCentre, err == nil)
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

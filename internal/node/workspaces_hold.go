package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/quota"
)

// heldCalls counts the calls that waited for a collector's answer, and all that were refused.
type heldCalls struct {
	admitted, refused             atomic.Uint64
	waited                        atomic.Int64 // nanoseconds
	refusedInTime, refusedOverdue atomic.Uint64
}

// Admit implements proxy.Workspaces.
func (w *workspaces) Admit(ctx context.Context, now time.Time, q proxy.QuotaCall) *call.Refusal {
	ws := q.Workspace
	if ws.RatePerSecond == 0 {
		return nil
	}
	verdict := w.limiter.Ask(now, ws.Name, q.Overdue)
	waited := verdict == quota.Waiting
	if waited {
		verdict = w.awaitAnswer(ctx, now, q)
	}
	if verdict == quota.Admitted || defect.On(defect.IgnoreQuota) {
		return nil
	}
	return w.refuse(q, waited)
}

func (w *workspaces) refuse(q proxy.QuotaCall, waited bool) *call.Refusal {
	detail := "workspace " + q.Workspace.Name
	if waited {
		detail += ", no answer of its collector in time"
	}
	if q.Overdue {
		w.held.refusedOverdue.Add(1)
		detail += ", overdue"
	} else {
		w.held.refusedInTime.Add(1)
	}
	retryAfter := w.limiter.RetryAfter(q.Workspace.Name)
	if retryAfter == 0 {
		retryAfter = overQuotaRetryAfter
	}
	return &call.Refusal{Reason: call.ReasonOverQuota, Detail: detail, RetryAfter: jitterHalf(retryAfter)}
}

// awaitAnswer holds a call until an answer of a collector admits it, or until it has waited too long.
func (w *workspaces) awaitAnswer(ctx context.Context, now time.Time, q proxy.QuotaCall) quota.Verdict {
	longest := min(quota.MaxWait, q.MaxWait)
	if longest < quota.MinReportInterval {
		select {
		case w.shortWait <- struct{}{}:
		default:
		}
	}
	ctx, cancel := context.WithDeadline(ctx, now.Add(longest))
	defer cancel()
	defer func() { w.held.waited.Add(int64(time.Since(now))) }()
	for {
		applied := w.limiter.Applied() // before asking, so that no answer in between is missed
		if w.limiter.AskAgain(time.Now(), q.Workspace.Name) == quota.Admitted {
			w.held.admitted.Add(1)
			return quota.Admitted
		}
		select {
		case <-applied:
		case <-ctx.Done():
			w.limiter.Leave(q.Workspace.Name)
			w.held.refused.Add(1)
			return quota.Refused
		}
	}
}

func (w *workspaces) writeMetrics(p page) {
	p.counter("marlpass_workspace_held_calls_total", w.held.admitted.Load(), "outcome", "admitted")
	p.counter("marlpass_workspace_held_calls_total", w.held.refused.Load(), "outcome", "refused")
	p.counter("marlpass_workspace_refused_calls_total", w.held.refusedInTime.Load(), "overdue", "false")
	p.counter("marlpass_workspace_refused_calls_total", w.held.refusedOverdue.Load(), "overdue", "true")
	p.gauge("marlpass_workspace_held_seconds", time.Duration(w.held.waited.Load()).Seconds())
}

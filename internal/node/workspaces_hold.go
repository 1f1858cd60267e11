package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/quota"
)

// heldCalls counts the calls that waited for a collector's answer.
type heldCalls struct {
	admitted, refused atomic.Uint64
	waited            atomic.Int64 // nanoseconds
}

// Admit implements proxy.Workspaces.
func (w *workspaces) Admit(ctx context.Context, now time.Time, q proxy.QuotaCall) *call.Refusal {
	ws := q.Workspace
	if ws.RatePerSecond == 0 {
		return nil
	}
	verdict := w.limiter.Ask(now, ws.Name, q.Overdue)
	if verdict == quota.Waiting {
		verdict = w.awaitAnswer(ctx, now, q)
	}
	if verdict == quota.Admitted {
		return nil
	}
	retryAfter := w.limiter.RetryAfter(ws.Name)
	if retryAfter == 0 {
		retryAfter = overQuotaRetryAfter
	}
	return &call.Refusal{Reason: call.ReasonOverQuota, Detail: "workspace " + ws.Name, RetryAfter: jitterHalf(retryAfter)}
}

// awaitAnswer holds a call until an answer of a collector admits it, or until it has waited too long.
func (w *workspaces) awaitAnswer(ctx context.Context, now time.Time, q proxy.QuotaCall) quota.Verdict {
	longest := quota.MaxWait
	if q.MaxWait > 0 {
		longest = min(longest, q.MaxWait)
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
	p.gauge("marlpass_workspace_held_seconds", time.Duration(w.held.waited.Load()).Seconds())
}

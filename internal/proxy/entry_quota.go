package proxy

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// QuotaCall is a call that counts against a quota.
type QuotaCall struct {
	Workspace *config.Workspace
	// Overdue says that the caller has waited longer than the latency target of its class.
	Overdue bool
	// MaxWait bounds the wait for the decision.
	MaxWait time.Duration
}

// maxQuotaWaitShare is the part of its class's latency target, or of the time left to its deadline if
// that is less, that a call may wait for the decision on its quota. The rest is for the call itself.
const maxQuotaWaitShare = 4

// admitWorkspace counts a call against its workspace's quota. The caller's first attempt has to be
// known: calls that can be in time go first.
func (e *Entry) admitWorkspace(c *entryCall) *call.Refusal {
	w := c.quotaHolder
	if w == nil {
		return nil
	}
	now := e.Now()
	if refusal := e.Workspaces.Admit(c.r.Context(), now, QuotaCall{
		Workspace: w, Overdue: c.overdue(now), MaxWait: c.maxQuotaWait(now),
	}); refusal != nil {
		return refusal
	}
	c.workspace = w
	return nil
}

// maxQuotaWait returns how long the call may wait for the decision on its quota.
func (c *entryCall) maxQuotaWait(now time.Time) time.Duration {
	left := max(c.deadline.Sub(now), 0)
	if target := c.target.AnswerWithin(); target > 0 {
		left = min(left, target)
	}
	return left / maxQuotaWaitShare
}

// refund uncounts a call that was not run from its workspace's quota.
func (e *Entry) refund(c *entryCall) {
	if c.workspace != nil {
		e.Workspaces.Refund(e.Now(), c.workspace)
		c.workspace = nil
	}
}

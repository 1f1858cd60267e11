package proxy

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// Workspaces enforces the quotas of workspaces.
type Workspaces interface {
	// CheckKeys returns nil, or a refusal for every call with a key while this node can't
	// confirm that the keys in its configuration are still valid.
	CheckKeys(now time.Time) *call.Refusal
	// Admit counts a call against its workspace's quota and returns nil, or returns a refusal if
	// the quota is used up. It may wait for the decision.
	Admit(ctx context.Context, now time.Time, q QuotaCall) *call.Refusal
	// Refund uncounts a call that was admitted but not run.
	Refund(now time.Time, w *config.Workspace)
}

// QuotaCall is a call that counts against a quota.
type QuotaCall struct {
	Workspace *config.Workspace
	// MaxWait bounds the wait for the decision; zero means no bound by the class.
	MaxWait time.Duration
}

// maxQuotaWaitShare is the part of a class's latency target that a call may wait for the decision on
// its quota. The rest is for the call itself.
const maxQuotaWaitShare = 4

// authenticate finds the workspace of a call by its API key. If the configuration has workspaces,
// neither the key nor a workspace header set by the caller is forwarded.
func (e *Entry) authenticate(c *entryCall, keys *config.Keyring) *call.Refusal {
	key := e.Dialect.TakeKey(c.r.Header, keys != nil)
	if keys == nil {
		return nil
	}
	w := keys.Holder(key)
	if w == nil {
		if c.target.Keyless {
			return nil
		}
		return refuse(call.ReasonNoKey, 0, "")
	}
	e.Dialect.SetWorkspace(c.r.Header, w.Name)
	if e.Workspaces == nil || c.target.Keyless {
		return nil
	}
	return e.admitWorkspace(c, w)
}

// admitWorkspace counts a call against its workspace's quota.
func (e *Entry) admitWorkspace(c *entryCall, w *config.Workspace) *call.Refusal {
	if refusal := e.Workspaces.CheckKeys(c.start); refusal != nil {
		return refusal
	}
	if refusal := e.Workspaces.Admit(c.r.Context(), c.start, QuotaCall{
		Workspace: w, MaxWait: c.target.AnswerWithin() / maxQuotaWaitShare,
	}); refusal != nil {
		return refusal
	}
	c.workspace = w
	return nil
}

// refund uncounts a call that was not run from its workspace's quota.
func (e *Entry) refund(c *entryCall) {
	if c.workspace != nil {
		e.Workspaces.Refund(e.Now(), c.workspace)
		c.workspace = nil
	}
}

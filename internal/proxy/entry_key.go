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

// authenticate finds the workspace of a call by its API key. If the configuration has workspaces,
// neither the key nor a workspace header set by the caller is forwarded.
func (e *Entry) authenticate(c *entryCall, keys *config.Keyring) *call.Refusal {
	key := e.Dialect.TakeKey(c.r.Header, keys != nil)
	if keys == nil {
		return nil
	}
	w := keys.Holder(key)
	if w == nil {
		switch {
		case c.target.Keyless:
			return nil
		case keys.Unusable(key):
			return refuse(call.ReasonUnusableKey, 0, "")
		}
		return refuse(call.ReasonNoKey, 0, "")
	}
	e.Dialect.SetWorkspace(c.r.Header, w.Name)
	if e.Workspaces == nil || c.target.Keyless {
		return nil
	}
	c.quotaHolder = w
	return e.Workspaces.CheckKeys(c.start)
}

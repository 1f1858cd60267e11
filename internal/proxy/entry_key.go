package proxy

import (
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// Workspaces bounds the calls of workspaces.
type Workspaces interface {
	// CheckKeys returns the refusal of a call with a key while this node can't tell whether
	// the keys that it holds are still given out, or nil.
	CheckKeys(now time.Time) *call.Refusal
	// Admit counts a call against its workspace's quota, or returns the refusal of a call over
	// it.
	Admit(now time.Time, w *config.Workspace) *call.Refusal
	// Refund takes back what Admit counted for a call that was not run.
	Refund(now time.Time, w *config.Workspace)
}

// authenticate finds the workspace of a call by its API key. Where the configuration has
// workspaces, neither the key nor what the caller says of its workspace is passed on.
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
	if refusal := e.Workspaces.Admit(c.start, w); refusal != nil {
		return refusal
	}
	c.workspace = w
	return nil
}

// giveBack takes a call that was not run off its workspace's quota.
func (e *Entry) refund(c *entryCall) {
	if c.workspace != nil {
		e.Workspaces.Refund(e.Now(), c.workspace)
		c.workspace = nil
	}
}

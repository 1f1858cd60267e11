package node

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func (n *Node) snapshot() *config.Snapshot { return n.store.Load().Snapshot }

// reader answers the admin API's questions.
type reader struct{ n *Node }

// Snapshot implements admin.Reader.
func (r *reader) Snapshot() *config.Snapshot { return r.n.snapshot() }

// Status implements admin.Reader.
func (r *reader) Status(context.Context) (*adminapi.Status, error) {
	n := r.n
	s := &adminapi.Status{
		VM:         n.self.ID,
		Region:     n.self.Region,
		DataCentre: n.self.DataCentre,
		State:      n.state(),
		InForce:    versionShape(n.Version()),
		Platform:   n.platformState(time.Now()),
		Nodes:      len(n.views.Load().Records),
		Backends:   []adminapi.BackendStatus{},
	}
	if f := n.store.Refused(); f != nil {
		s.Refused.SetTo(adminapi.VersionNumber(f.Version.Number))
		s.RefusedReason.SetTo(f.Err.Error())
	}
	for _, b := range n.registry.Load() {
		s.Backends = append(s.Backends, adminapi.BackendStatus{
			Service: b.Service, Instance: b.Instance, Slots: b.Slots,
			State: adminapi.BackendStatusState(b.State.String()),
		})
	}
	return s, nil
}

func (n *Node) state() adminapi.StatusState {
	ready, _ := n.Ready()
	switch {
	case n.leaving.Load():
		return adminapi.StatusStateLeaving
	case ready:
		return adminapi.StatusStateReady
	}
	return adminapi.StatusStateStarting
}

// platformState tells what this node's last calls say about the platform.
func (n *Node) platformState(now time.Time) adminapi.PlatformState {
	if n.control.client == nil {
		return adminapi.PlatformState{Reachable: true}
	}
	h := n.control.client.Health()
	s := adminapi.PlatformState{Reachable: h.Answering}
	if !h.LastAnswer.IsZero() {
		s.AgeSeconds.SetTo(now.Sub(h.LastAnswer).Seconds())
	}
	if h.Err != nil {
		s.Detail.SetTo(h.Err.Error())
	}
	return s
}

func versionShape(v config.Version) adminapi.Version {
	return adminapi.Version{Number: adminapi.VersionNumber(v.Number), Hash: v.Hash.String()}
}

// errNoHistory stands in until the queries are wired.
var errNoHistory = &admin.UnavailableError{Detail: "not served by this node yet"}

// Command implements admin.Reader.
func (r *reader) Command(ctx context.Context, id string) (*adminapi.CommandRecord, error) {
	return nil, errNoHistory
}

// Diff implements admin.Reader.
func (r *reader) Diff(context.Context, uint64, *uint64) (*adminapi.Diff, error) {
	return nil, errNoHistory
}

// History implements admin.Reader.
func (r *reader) History(context.Context, admin.HistoryQuery) (*adminapi.History, error) {
	return nil, errNoHistory
}

// Handover implements admin.Reader.
func (r *reader) Handover(context.Context, time.Time) (*adminapi.Handover, error) {
	return nil, errNoHistory
}

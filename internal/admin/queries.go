package admin

import (
	"context"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func (h handler) ListServices(context.Context) (*adminapi.ServiceListHeaders, error) {
	s := h.s.reader.Snapshot()
	out := adminapi.ServiceList{Version: VersionOf(s.Version()), Services: []adminapi.Service{}}
	for _, v := range s.Services() {
		out.Services = append(out.Services, serviceOf(v))
	}
	return &adminapi.ServiceListHeaders{ETag: etag(s.Version().Number), Response: out}, nil
}

func (h handler) GetService(_ context.Context, p adminapi.GetServiceParams) (*adminapi.ServiceHeaders, error) {
	s := h.s.reader.Snapshot()
	v := s.Service(string(p.Name))
	if v == nil {
		return nil, &NotFoundError{"service " + string(p.Name)}
	}
	return &adminapi.ServiceHeaders{ETag: etag(s.Version().Number), Response: serviceOf(v)}, nil
}

func (h handler) ListTargets(context.Context) (*adminapi.TargetListHeaders, error) {
	s := h.s.reader.Snapshot()
	out := adminapi.TargetList{Version: VersionOf(s.Version()), Targets: []adminapi.Target{}}
	for _, t := range s.Targets() {
		out.Targets = append(out.Targets, targetOf(t))
	}
	return &adminapi.TargetListHeaders{ETag: etag(s.Version().Number), Response: out}, nil
}

func (h handler) GetTarget(_ context.Context, p adminapi.GetTargetParams) (*adminapi.TargetHeaders, error) {
	s := h.s.reader.Snapshot()
	t := s.Target(string(p.Name))
	if t == nil {
		return nil, &NotFoundError{"target " + string(p.Name)}
	}
	return &adminapi.TargetHeaders{ETag: etag(s.Version().Number), Response: targetOf(t)}, nil
}

func (h handler) ListWorkspaces(context.Context) (*adminapi.WorkspaceListHeaders, error) {
	s := h.s.reader.Snapshot()
	out := adminapi.WorkspaceList{Version: VersionOf(s.Version()), Workspaces: []adminapi.Workspace{}}
	for _, w := range s.Workspaces() {
		out.Workspaces = append(out.Workspaces, workspaceOf(w))
	}
	return &adminapi.WorkspaceListHeaders{ETag: etag(s.Version().Number), Response: out}, nil
}

func (h handler) GetWorkspace(_ context.Context, p adminapi.GetWorkspaceParams) (*adminapi.WorkspaceHeaders, error) {
	s := h.s.reader.Snapshot()
	w := s.Workspace(string(p.Name))
	if w == nil {
		return nil, &NotFoundError{"workspace " + string(p.Name)}
	}
	return &adminapi.WorkspaceHeaders{ETag: etag(s.Version().Number), Response: workspaceOf(w)}, nil
}

func (h handler) GetCommand(ctx context.Context, p adminapi.GetCommandParams) (*adminapi.CommandRecord, error) {
	return h.s.reader.Command(ctx, string(p.ID))
}

func (h handler) GetDiff(ctx context.Context, p adminapi.GetDiffParams) (*adminapi.Diff, error) {
	var to *uint64
	if v, ok := p.To.Get(); ok {
		n := uint64(v)
		to = &n
	}
	return h.s.reader.Diff(ctx, uint64(p.From), to)
}

func (h handler) GetHistory(ctx context.Context, p adminapi.GetHistoryParams) (*adminapi.History, error) {
	q := HistoryQuery{
		Since:  p.Since.Value,
		Before: uint64(p.Before.Or(0)),
		Limit:  p.Limit.Value,
	}
	if p.Kind.Set != p.Name.Set {
		return nil, &parameterError{"kind", "and name must be given together"}
	}
	if p.Kind.Set {
		q.Key = &config.Key{Kind: config.Kind(p.Kind.Value), Name: string(p.Name.Value)}
	}
	return h.s.reader.History(ctx, q)
}

func (h handler) GetHandover(ctx context.Context, p adminapi.GetHandoverParams) (*adminapi.Handover, error) {
	return h.s.reader.Handover(ctx, p.Since.Or(h.s.now().Add(-DefaultHandoverSince)))
}

func (h handler) GetStatus(ctx context.Context) (*adminapi.Status, error) {
	return h.s.reader.Status(ctx)
}

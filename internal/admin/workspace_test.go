package admin_test

import (
	"context"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func digest(digit string) adminapi.KeyDigest { return adminapi.KeyDigest(strings.Repeat(digit, 64)) }

// Guards what operators state of workspaces: it reads back whole, belongs to its team, and a key
// is held by one workspace alone.
func TestWorkspaces(t *testing.T) {
	b := newBench(t, nil)
	ctx := context.Background()
	c, other := b.client(t, berthToken), b.client(t, recordToken)
	spec := &adminapi.WorkspaceSpec{
		KeysSHA256: []adminapi.KeyDigest{digest("a"), digest("b")}, Priority: adminapi.NewOptInt(8),
		RatePerSecond: adminapi.NewOptFloat64(200), Burst: adminapi.NewOptFloat64(50),
	}
	if res, err := c.PutWorkspace(ctx, spec, adminapi.PutWorkspaceParams{Name: "yard"}); err != nil {
		t.Fatalf("got %+v, %v", res, err)
	}
	got, err := c.GetWorkspace(ctx, adminapi.GetWorkspaceParams{Name: "yard"})
	if err != nil || got.Response.Team != "berth" {
		t.Fatalf("got %+v, %v", got, err)
	}
	read := got.Response.Spec
	if len(read.KeysSHA256) != 2 || read.Priority != spec.Priority || read.RatePerSecond != spec.RatePerSecond || read.Burst != spec.Burst {
		t.Errorf("got %+v", read)
	}
	_, err = other.PutWorkspace(ctx, spec, adminapi.PutWorkspaceParams{Name: "yard"})
	wantProblem(t, err, 403, command.ReasonForbidden)
	_, err = other.WithdrawWorkspace(ctx, adminapi.WithdrawWorkspaceParams{Name: "yard"})
	wantProblem(t, err, 403, command.ReasonForbidden)
	_, err = c.PutWorkspace(ctx, spec, adminapi.PutWorkspaceParams{Name: "slip"})
	wantProblem(t, err, 409, command.ReasonInvalid)
	if _, err := c.WithdrawWorkspace(ctx, adminapi.WithdrawWorkspaceParams{Name: "yard"}); err != nil {
		t.Fatal(err)
	}
	list, err := c.ListWorkspaces(ctx)
	if err != nil || len(list.Response.Workspaces) != 0 {
		t.Errorf("got %+v, %v", list, err)
	}
}

func TestReadOnlyTokensStateNoWorkspaces(t *testing.T) {
	b := newBench(t, nil)
	reader := b.client(t, readToken)
	_, err := reader.PutWorkspace(context.Background(), &adminapi.WorkspaceSpec{}, adminapi.PutWorkspaceParams{Name: "yard"})
	wantProblem(t, err, 403, "read-only")
	_, err = reader.WithdrawWorkspace(context.Background(), adminapi.WithdrawWorkspaceParams{Name: "yard"})
	wantProblem(t, err, 403, "read-only")
}

package node_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
)

// testBound ends a test that waits for what does not come.
const testBound = time.Minute

const otherToken = "token-of-the-harbour"

// yard is a mesh of four nodes in two data centres, with a gate between each
// node and the platform, and operators of two teams.
type yard struct {
	*localmesh.Mesh
	ctx   context.Context
	gates []*platformProxy
}

func newYard(t *testing.T) *yard {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testBound)
	t.Cleanup(cancel)
	y := &yard{ctx: ctx}
	sum := sha256.Sum256([]byte(otherToken))
	other := settings.Operator{Name: "kumari", Team: "harbour", TokenSHA256: hex.EncodeToString(sum[:])}
	var err error
	y.Mesh, err = localmesh.Start(localmesh.Options{
		Name: "operators", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{
			{Name: "neg-shed", Region: "western", VMs: 2},
			{Name: "gal-shed", Region: "western", VMs: 2},
		},
		Node: func(_ *localmesh.VM, o *node.Options) {
			g := newPlatformProxy(t, o.Settings.Platform.URL)
			y.gates = append(y.gates, g)
			o.Settings.Platform.URL = g.url
			o.Settings.Operators = append(o.Settings.Operators, other)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(y.Close)
	if err := y.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return y
}

func (y *yard) cut(on bool) {
	for _, g := range y.gates {
		g.down.Store(on)
	}
}

func (y *yard) as(t *testing.T, vm int, token string) *adminapi.Client {
	t.Helper()
	c, err := y.AdminAs(y.VMs[vm], token)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (y *yard) admin(t *testing.T, vm int) *adminapi.Client { return y.as(t, vm, localmesh.Token) }

// state states the service berths and the target lookups, versions 1 and 2,
// and waits until they are in force everywhere.
func (y *yard) state(t *testing.T) {
	t.Helper()
	c := y.admin(t, 1)
	if _, err := c.PutService(y.ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berths"}); err != nil {
		t.Fatal(err)
	}
	p := adminapi.PutTargetParams{
		Name: "lookups", MarlpassCommand: adminapi.NewOptCommandID("state-lookups"),
		MarlpassNote: adminapi.NewOptString("monsoon%20opens"),
	}
	res, err := c.PutTarget(y.ctx, lookups(), p)
	if got, ok := res.(*adminapi.CreatedHeaders); err != nil || !ok || got.Response.Version.Number != 2 {
		t.Fatalf("%+v, %v", res, err)
	}
	if err := y.WaitVersion(y.ctx, 2); err != nil {
		t.Fatal(err)
	}
}

func lookups() *adminapi.TargetSpec {
	return &adminapi.TargetSpec{
		Service: "berths", Match: adminapi.Match{PathPrefix: "/berths"},
		Idempotent: adminapi.NewOptBool(true), AnswerWithinMs: adminapi.NewOptInt64(30_000),
	}
}

// eventually calls ok until it holds or the test's bound is over.
func (y *yard) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for !ok() {
		select {
		case <-y.ctx.Done():
			t.Fatalf("never seen: %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// get makes one call through the VM's node and returns the status, or 0 when
// there was no answer.
func (y *yard) get(t *testing.T, vm int, path string, header ...string) int {
	t.Helper()
	url := "http://" + y.VMs[vm].Node().Addrs().Callers + path
	req, err := http.NewRequestWithContext(y.ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(header) == 2 {
		req.Header.Set(header[0], header[1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (y *yard) startBackend(t *testing.T, vm int, instance string) {
	t.Helper()
	set := backend.Defaults()
	set.Service, set.Instance, set.ColdStart.Duration = "berths", instance, 0
	set.AnnounceEvery.Duration = 50 * time.Millisecond
	if _, err := y.StartBackend(y.ctx, y.VMs[vm], set); err != nil {
		t.Fatal(err)
	}
}

func status(err error) int {
	var d *adminapi.ProblemStatusCodeWithHeaders
	if errors.As(err, &d) {
		return d.StatusCode
	}
	return 0
}

func TestOperatorReadsBackWhatWasStated(t *testing.T) {
	y := newYard(t)
	y.state(t)
	c := y.admin(t, 3)
	h, err := c.GetHistory(y.ctx, adminapi.GetHistoryParams{Limit: adminapi.NewOptInt(1)})
	if err != nil || len(h.Entries) != 1 || h.Next.Value != 2 {
		t.Fatalf("%+v, %v", h, err)
	}
	e := h.Entries[0]
	if e.Version.Number != 2 || e.By != localmesh.Operator || e.Team != localmesh.Team || e.Note.Value != "monsoon opens" ||
		e.Command != "state-lookups" || len(e.Changes) != 1 || e.Changes[0].Name != "lookups" ||
		e.Changes[0].Action != adminapi.ObjectChangeActionAdded {
		t.Errorf("%+v", e)
	}
	h, err = c.GetHistory(y.ctx, adminapi.GetHistoryParams{Before: h.Next, Limit: adminapi.NewOptInt(50)})
	if err != nil || len(h.Entries) != 1 || h.Entries[0].Version.Number != 1 || h.Next.Set {
		t.Errorf("%+v, %v", h, err)
	}
	for from, changes := range map[adminapi.VersionNumber]int{0: 2, 1: 1, 2: 0} {
		d, err := c.GetDiff(y.ctx, adminapi.GetDiffParams{From: from, To: adminapi.NewOptVersionNumber(2)})
		if err != nil || len(d.Changes) != changes || d.From.Number != from {
			t.Errorf("diff from %d: %+v, %v", from, d, err)
		}
	}
	if _, err := c.GetDiff(y.ctx, adminapi.GetDiffParams{From: 9}); status(err) != http.StatusNotFound {
		t.Errorf("diff from a version that is not there: %v", err)
	}
	r, err := c.GetCommand(y.ctx, adminapi.GetCommandParams{ID: "state-lookups"})
	if err != nil || r.Outcome != adminapi.CommandRecordOutcomeAccepted || r.Version.Value.Number != 2 || r.By.Value != localmesh.Operator {
		t.Errorf("%+v, %v", r, err)
	}
	r, err = c.GetCommand(y.ctx, adminapi.GetCommandParams{ID: "nobody-sent-it"})
	if err != nil || r.Outcome != adminapi.CommandRecordOutcomeNone {
		t.Errorf("%+v, %v", r, err)
	}
	y.eventually(t, "a status that knows of all nodes and of the last version", func() bool {
		s, err := c.GetStatus(y.ctx)
		return err == nil && s.Accepted.Number == 2 && s.Nodes == 4 && len(s.Spread) > 0 && s.Spread[0].Version == 2
	})
}

// Calls go in at two nodes, and the operator asks a third: the figures are those
// of the whole mesh, and nothing needs attention. Then a backend server drains.
func TestHandoverTellsOfTheWholeMesh(t *testing.T) {
	y := newYard(t)
	y.state(t)
	y.startBackend(t, 0, "a")
	y.startBackend(t, 2, "b")
	if err := y.WaitEndpoints(y.ctx, "berths", 2); err != nil {
		t.Fatal(err)
	}
	const calls = 10
	for i := range calls {
		if got := y.get(t, i%2, "/berths/7"); got != http.StatusOK {
			t.Fatalf("call %d: status %d", i, got)
		}
	}
	c := y.admin(t, 3)
	var h *adminapi.Handover
	y.eventually(t, "a handover in which nothing needs attention", func() bool {
		var err error
		h, err = c.GetHandover(y.ctx, adminapi.GetHandoverParams{})
		return err == nil && len(h.Attention) == 0 && h.ReportsAnswered == 4
	})
	if h.Accepted.Number != 2 || h.Nodes != 4 || h.NodesInForce != 4 || len(h.Behind)+len(h.NotSeen) != 0 ||
		len(h.Changes) != 2 || !h.Platform.Reachable || len(h.Spread) == 0 {
		t.Errorf("%+v", h)
	}
	if len(h.Targets) != 1 {
		t.Fatalf("targets: %+v", h.Targets)
	}
	got := h.Targets[0]
	if got.Name != "lookups" || got.State != adminapi.TargetStateStateMet || got.Calls != calls || got.Nodes != 2 ||
		got.WithinPercent.Value != 100 || got.MeasuredMs.Value <= 0 || got.AimMs.Value != 30_000 {
		t.Errorf("target: %+v", got)
	}
	go y.VMs[0].Backends()[0].Drain(y.ctx)
	y.eventually(t, "the draining backend server", func() bool {
		h, err := c.GetHandover(y.ctx, adminapi.GetHandoverParams{})
		if err != nil {
			return false
		}
		for _, e := range h.Endpoints {
			if e.Instance == "a" && e.State == adminapi.EndpointStateStateDraining && e.VM == y.VMs[0].ID {
				return true
			}
		}
		return false
	})
}

func TestRefusedWithTheReason(t *testing.T) {
	y := newYard(t)
	y.state(t)
	c := y.admin(t, 2)
	spec := lookups()
	spec.Service = "surveys"
	spec.Match.PathPrefix = "/surveys"
	if _, err := c.PutTarget(y.ctx, spec, adminapi.PutTargetParams{Name: "surveys"}); status(err) != http.StatusConflict {
		t.Errorf("a target to a missing service: %v", err)
	}
	if _, err := y.as(t, 2, otherToken).PutTarget(y.ctx, lookups(), adminapi.PutTargetParams{Name: "lookups"}); status(err) != http.StatusForbidden {
		t.Errorf("another team's target: %v", err)
	}
	stale := adminapi.PutTargetParams{Name: "lookups", IfMatch: adminapi.NewOptString(`"1"`)}
	if _, err := c.PutTarget(y.ctx, lookups(), stale); status(err) != http.StatusPreconditionFailed {
		t.Errorf("a change on an older version: %v", err)
	}
	for _, n := range y.Nodes() {
		if got := n.Version().Number; got != 2 {
			t.Errorf("a refused command made version %d", got)
		}
	}
}

// The platform takes an operator's change, its answer is lost, and then it is
// down for everybody. Told "refused", the operator would state the change again;
// told "accepted", nobody would look. It is unknown, and the id that came with
// it settles it when the platform is back.
func TestUnknownIsSettledLater(t *testing.T) {
	y := newYard(t)
	y.state(t)
	id := "lost-answer"
	y.gates[0].onDropped = func() { y.cut(true) }
	y.gates[0].dropAnswerOf.Store(&id)
	c := y.admin(t, 0)
	spec := lookups()
	spec.Priority.SetTo(7)
	res, err := c.PutTarget(y.ctx, spec, adminapi.PutTargetParams{Name: "lookups", MarlpassCommand: adminapi.NewOptCommandID("lost-answer")})
	if got, ok := res.(*adminapi.UnknownHeaders); err != nil || !ok || got.MarlpassCommand != id {
		t.Fatalf("%+v, %v", res, err)
	}
	ask := adminapi.GetCommandParams{ID: "lost-answer"}
	if _, err := c.GetCommand(y.ctx, ask); status(err) != http.StatusServiceUnavailable {
		t.Errorf("asked while the platform is down: %v", err)
	}
	h, err := c.GetHandover(y.ctx, adminapi.GetHandoverParams{})
	if err != nil || h.Platform.Reachable || len(h.Attention) == 0 || h.InForce.Number != 2 {
		t.Errorf("handover while the platform is down: %+v, %v", h, err)
	}
	y.cut(false)
	y.eventually(t, "the command's record", func() bool {
		r, err := c.GetCommand(y.ctx, ask)
		return err == nil && r.Outcome == adminapi.CommandRecordOutcomeAccepted && r.Version.Value.Number == 3
	})
	if err := y.WaitVersion(y.ctx, 3); err != nil {
		t.Error(err)
	}
}

// One node's way to the platform is cut while the others reach it. The operator
// who happens to ask that node states a change: a peer carries it.
func TestPeerCarriesACommand(t *testing.T) {
	y := newYard(t)
	y.state(t)
	y.gates[0].down.Store(true)
	c := y.admin(t, 0)
	spec := lookups()
	spec.Priority.SetTo(7)
	res, err := c.PutTarget(y.ctx, spec, adminapi.PutTargetParams{Name: "lookups", MarlpassCommand: adminapi.NewOptCommandID("by-a-peer")})
	if got, ok := res.(*adminapi.AcceptedHeaders); err != nil || !ok || got.Response.Version.Number != 3 {
		t.Fatalf("%+v, %v", res, err)
	}
	if err := y.WaitVersion(y.ctx, 3); err != nil {
		t.Error(err)
	}
	r, err := y.admin(t, 1).GetCommand(y.ctx, adminapi.GetCommandParams{ID: "by-a-peer"})
	if err != nil || r.Outcome != adminapi.CommandRecordOutcomeAccepted || r.By.Value != localmesh.Operator {
		t.Errorf("%+v, %v", r, err)
	}
	for vm, reachable := range []bool{false, true} {
		h, err := y.admin(t, vm).GetHandover(y.ctx, adminapi.GetHandoverParams{})
		if err != nil || h.Platform.Reachable != reachable || h.Platform.DownSince.Set == reachable {
			t.Errorf("platform as seen by VM %d: %+v, %v", vm, h.Platform, err)
		}
	}
}

package admin_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/admin/admintest"
	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

func bookings() *adminapi.TargetSpec {
	return &adminapi.TargetSpec{
		Service:        "berth",
		Match:          adminapi.Match{PathPrefix: "/bookings", Methods: []string{"POST"}},
		AnswerWithinMs: adminapi.NewOptInt64(200),
		Share:          adminapi.NewOptFloat64(0.5),
		Audience:       adminapi.NewOptAudience(adminapi.AudiencePublic),
	}
}

func TestAcceptedChangeReadsBack(t *testing.T) {
	b := newBench(t, nil)
	c := b.client(t, berthToken)
	ctx := context.Background()
	res, err := c.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berth"})
	created, ok := res.(*adminapi.CreatedHeaders)
	if err != nil || !ok || created.ETag != `"1"` || created.MarlpassCommand == "" {
		t.Fatalf("got %+v, %v", res, err)
	}
	tres, err := c.PutTarget(ctx, bookings(), adminapi.PutTargetParams{
		Name: "berth-booking", IfMatch: adminapi.NewOptString(created.ETag),
		MarlpassNote: adminapi.NewOptString("monsoon%20opens"), MarlpassCommand: adminapi.NewOptCommandID("c-1"),
	})
	if got, ok := tres.(*adminapi.CreatedHeaders); err != nil || !ok || got.Response.Version.Number != 2 || got.MarlpassCommand != "c-1" {
		t.Fatalf("got %+v, %v", tres, err)
	}
	target, err := c.GetTarget(ctx, adminapi.GetTargetParams{Name: "berth-booking"})
	if err != nil || target.ETag != `"2"` || target.Response.Team != "berth" {
		t.Fatalf("got %+v, %v", target, err)
	}
	if got := target.Response.Spec; got.AnswerWithinMs.Value != 200 || got.Share.Value != 0.5 || got.Match.Methods[0] != "POST" || got.Idempotent.Set {
		t.Errorf("got %+v", got)
	}
	history, err := c.GetHistory(ctx, adminapi.GetHistoryParams{Limit: adminapi.NewOptInt(1)})
	if err != nil || len(history.Entries) != 1 || history.Entries[0].Note.Value != "monsoon opens" || history.Entries[0].By != "nimal" {
		t.Errorf("got %+v, %v", history, err)
	}
	if next, ok := history.Next.Get(); !ok || next != 2 {
		t.Errorf("next is %v", history.Next)
	}
	record, err := c.GetCommand(ctx, adminapi.GetCommandParams{ID: "c-1"})
	if err != nil || record.Outcome != adminapi.CommandRecordOutcomeAccepted {
		t.Errorf("got %+v, %v", record, err)
	}
}

func TestRepeatedCommandTakesEffectOnce(t *testing.T) {
	b := newBench(t, nil)
	c := b.client(t, berthToken)
	for range 2 {
		res, err := c.PutService(context.Background(), &adminapi.ServiceSpec{},
			adminapi.PutServiceParams{Name: "berth", MarlpassCommand: adminapi.NewOptCommandID("once")})
		if got, ok := res.(*adminapi.CreatedHeaders); err != nil || !ok || got.Response.Version.Number != 1 {
			t.Fatalf("got %+v, %v", res, err)
		}
	}
}

// An operator changes a target and the platform's answer is lost. Told
// "failed", the operator states it again; told "done", nobody looks. The
// answer must be neither, and the command's record must tell later.
func TestUnknownOutcomeIsToldAsUnknown(t *testing.T) {
	for mode, want := range map[admintest.Mode]adminapi.CommandRecordOutcome{
		admintest.ModeLostAfter:  adminapi.CommandRecordOutcomeAccepted,
		admintest.ModeLostBefore: adminapi.CommandRecordOutcomeNone,
	} {
		b := newBench(t, nil)
		b.fake.SetMode(mode)
		c := b.client(t, berthToken)
		res, err := c.PutService(context.Background(), &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berth"})
		got, ok := res.(*adminapi.UnknownHeaders)
		if err != nil || !ok || got.Response.Command != got.MarlpassCommand {
			t.Fatalf("%s: got %+v, %v", mode, res, err)
		}
		b.fake.SetMode(admintest.ModeNormal)
		record, err := c.GetCommand(context.Background(), adminapi.GetCommandParams{ID: adminapi.CommandID(got.MarlpassCommand)})
		if err != nil || record.Outcome != want {
			t.Errorf("%s: got %+v, %v", mode, record, err)
		}
	}
}

// stated is a bench whose berth team has the service berth and a target on it.
func stated(t *testing.T) (*bench, *adminapi.Client) {
	t.Helper()
	b := newBench(t, nil)
	c := b.client(t, berthToken)
	ctx := context.Background()
	if _, err := c.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berth"}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.PutTarget(ctx, bookings(), adminapi.PutTargetParams{Name: "berth-booking"}); err != nil {
		t.Fatal(err)
	}
	return b, c
}

func TestRefusalNamesTheObjects(t *testing.T) {
	b, c := stated(t)
	ctx := context.Background()
	spec := bookings()
	spec.Service, spec.Match.PathPrefix = "survey", "/surveys"
	_, err := c.PutTarget(ctx, spec, adminapi.PutTargetParams{Name: "surveys"})
	d := wantProblem(t, err, 409, command.ReasonInvalid)
	if p := d.Response.Problems; len(p) != 1 || p[0].Missing[0] != "survey" || p[0].Name.Value != "surveys" || !d.MarlpassCommand.Set {
		t.Errorf("got %+v", d)
	}
	_, err = c.WithdrawService(ctx, adminapi.WithdrawServiceParams{Name: "berth"})
	d = wantProblem(t, err, 409, command.ReasonInvalid)
	if p := d.Response.Problems; len(p) != 1 || p[0].Dependents[0] != "berth-booking" {
		t.Errorf("got %+v", d)
	}
	// The clash is found at the later name, which is not the stated object.
	_, err = c.PutTarget(ctx, bookings(), adminapi.PutTargetParams{Name: "a-booking"})
	d = wantProblem(t, err, 409, command.ReasonInvalid)
	if p := d.Response.Problems; len(p) != 1 || p[0].Name.Value != "berth-booking" || d.Response.Field.Set {
		t.Errorf("got %+v", d)
	}
	if got := b.fake.Snapshot().Version().Number; got != 2 {
		t.Errorf("a refused command took effect: version %d", got)
	}
}

// Two operators read version 2. One changes the target; the other, who has not
// seen that, must not undo it without a word.
func TestStaleChangeIsRefusedWithWhatDiffers(t *testing.T) {
	_, c := stated(t)
	ctx := context.Background()
	faster := bookings()
	faster.AnswerWithinMs.SetTo(150)
	p := adminapi.PutTargetParams{Name: "berth-booking", IfMatch: adminapi.NewOptString(`"2"`)}
	res, err := c.PutTarget(ctx, faster, p)
	if _, ok := res.(*adminapi.AcceptedHeaders); err != nil || !ok {
		t.Fatalf("got %+v, %v", res, err)
	}
	_, err = c.PutTarget(ctx, bookings(), p)
	d := wantProblem(t, err, 412, command.ReasonConflict)
	if d.Response.Current.Value != 3 || len(d.Response.Changes) != 1 {
		t.Fatalf("got %+v", d)
	}
	got := d.Response.Changes[0]
	if got.Name != "berth-booking" || got.By.Value != "nimal" || got.Version.Value != 3 || got.Fields[0].After.Value != "150" {
		t.Errorf("got %+v", got)
	}
}

func TestOtherTeamsObjectsAreForbidden(t *testing.T) {
	b, _ := stated(t)
	other := b.client(t, recordToken)
	ctx := context.Background()
	_, err := other.PutTarget(ctx, bookings(), adminapi.PutTargetParams{Name: "berth-booking"})
	wantProblem(t, err, 403, command.ReasonForbidden)
	_, err = other.WithdrawTarget(ctx, adminapi.WithdrawTargetParams{Name: "berth-booking"})
	wantProblem(t, err, 403, command.ReasonForbidden)
	_, err = other.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berth"})
	wantProblem(t, err, 403, command.ReasonForbidden)
}

func TestOtherRefusals(t *testing.T) {
	b, c := stated(t)
	ctx := context.Background()
	_, err := c.WithdrawTarget(ctx, adminapi.WithdrawTargetParams{Name: "none"})
	wantProblem(t, err, 404, command.ReasonNotFound)
	_, err = c.GetTarget(ctx, adminapi.GetTargetParams{Name: "none"})
	wantProblem(t, err, 404, command.ReasonNotFound)
	_, err = c.GetDiff(ctx, adminapi.GetDiffParams{From: 1, To: adminapi.NewOptVersionNumber(9)})
	wantProblem(t, err, 404, command.ReasonNotFound)
	_, err = c.GetHistory(ctx, adminapi.GetHistoryParams{Kind: adminapi.NewOptKind(adminapi.KindTarget)})
	wantProblem(t, err, 422, command.ReasonMalformed)
	same := adminapi.PutServiceParams{Name: "survey", MarlpassCommand: adminapi.NewOptCommandID("c-1")}
	if _, err := c.PutService(ctx, &adminapi.ServiceSpec{}, same); err != nil {
		t.Fatal(err)
	}
	same.Name = "archive"
	_, err = c.PutService(ctx, &adminapi.ServiceSpec{}, same)
	wantProblem(t, err, 409, command.ReasonIDReused)
	b.fake.SetMode(admintest.ModeUnavailable)
	_, err = c.WithdrawTarget(ctx, adminapi.WithdrawTargetParams{Name: "berth-booking"})
	if d := wantProblem(t, err, 503, command.ReasonUnavailable); d.RetryAfter.Value != 2 {
		t.Errorf("retry after %v", d.RetryAfter)
	}
	_, err = c.GetCommand(ctx, adminapi.GetCommandParams{ID: "c-1"})
	wantProblem(t, err, 503, command.ReasonUnavailable)
	res, err := c.WithdrawTarget(ctx, adminapi.WithdrawTargetParams{Name: "berth-booking",
		MarlpassCommand: adminapi.NewOptCommandID("c-2"), MarlpassRepeat: adminapi.NewOptBool(true)})
	if _, ok := res.(*adminapi.UnknownHeaders); err != nil || !ok {
		t.Errorf("a repeat while the platform is down: %+v, %v", res, err)
	}
}

func TestSettingWhatIsAlreadySoIsAccepted(t *testing.T) {
	_, c := stated(t)
	res, err := c.PutTarget(context.Background(), bookings(), adminapi.PutTargetParams{Name: "berth-booking"})
	if got, ok := res.(*adminapi.AcceptedHeaders); err != nil || !ok || !got.Response.Unchanged.Value || got.Response.Version.Number != 2 {
		t.Errorf("got %+v, %v", res, err)
	}
}

func TestBadBodyNamesItsField(t *testing.T) {
	const good = `{"service":"berth","match":{"path_prefix":"/"}}`
	tests := []struct {
		name, path, body, header, value string
		status                          int
		field                           string
	}{
		{"unknown field", "/targets/a", `{"weight":3}`, "", "", 400, "weight"},
		{"unknown nested field", "/targets/a", `{"service":"berth","match":{"port":3}}`, "", "", 400, "match.port"},
		{"wrong type", "/targets/a", `{"share":"half"}`, "", "", 400, "share"},
		{"missing", "/targets/a", `{"service":"berth"}`, "", "", 422, "match"},
		{"missing nested", "/targets/a", `{"service":"berth","match":{}}`, "", "", 422, "match.path_prefix"},
		{"out of range", "/targets/a", strings.Replace(good, "}}", `},"priority":10}`, 1), "", "", 422, "priority"},
		{"share above one", "/targets/a", strings.Replace(good, "}}", `},"share":1.5}`, 1), "", "", 422, "share"},
		{"not one of", "/targets/a", strings.Replace(good, "}}", `},"audience":"all"}`, 1), "", "", 422, "audience"},
		{"bad method", "/targets/a", `{"service":"berth","match":{"path_prefix":"/","methods":["GET","get"]}}`, "", "", 422, "match.methods[1]"},
		{"bad name", "/targets/A", good, "", "", 400, "name"},
		{"bad If-Match", "/targets/a", good, "If-Match", "seven", 400, "If-Match"},
		{"bad command id", "/targets/a", good, "Marlpass-Command", "a b", 400, "Marlpass-Command"},
		{"bad note", "/targets/a", good, "Marlpass-Note", "%zz", 422, "Marlpass-Note"},
		{"too large", "/services/a", `{"description":"` + strings.Repeat("x", admin.MaxBody) + `"}`, "", "", 413, ""},
		{"not JSON", "/services/a", `{`, "", "", 400, ""},
		{"another media type", "/services/a", "{}", "Content-Type", "text/plain", 415, ""},
		{"empty", "/services/a", "", "", "", 400, ""},
	}
	b := newBench(t, nil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			req, _ := http.NewRequest(http.MethodPut, b.url+test.path, strings.NewReader(test.body))
			req.Header.Set("Authorization", "Bearer "+berthToken)
			req.Header.Set("Content-Type", "application/json")
			if test.header != "" {
				req.Header.Set(test.header, test.value)
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			var p adminapi.Problem
			if err := p.UnmarshalJSON(body); err != nil {
				t.Fatalf("%s: %v", body, err)
			}
			if resp.StatusCode != test.status || p.Field.Value != test.field || !p.Detail.Set {
				t.Errorf("%d %s, want %d and field %q", resp.StatusCode, body, test.status, test.field)
			}
			if got := resp.Header.Get("Content-Type"); got != "application/problem+json" {
				t.Errorf("content type %q", got)
			}
		})
	}
}

// holding is a commander that takes a change and keeps it until released.
type holding struct {
	admin.Commander
	entered, release chan struct{}
}

func (h *holding) Submit(ctx context.Context, c command.Command) command.Result {
	h.entered <- struct{}{}
	<-h.release
	return h.Commander.Submit(ctx, c)
}

func TestCommandsAtOnceAreBounded(t *testing.T) {
	h := &holding{entered: make(chan struct{}), release: make(chan struct{})}
	b := newBench(t, func(c admin.Commander) admin.Commander { h.Commander = c; return h })
	c := b.client(t, berthToken)
	ctx := context.Background()
	done := make(chan error)
	go func() {
		_, err := c.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berth"})
		done <- err
	}()
	<-h.entered
	_, err := c.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "survey"})
	if d := wantProblem(t, err, 429, "too-many"); d.RetryAfter.Value < 1 {
		t.Errorf("got %+v", d)
	}
	close(h.release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// vague is a commander that does not say what became of a command.
type vague struct{}

func (vague) Submit(context.Context, command.Command) command.Result { return command.Result{} }

// The platform takes the write, and a result comes back that says neither
// accepted nor refused. Told as a refusal, the operator would state the change
// again although it is in force.
func TestVagueResultIsToldAsUnknown(t *testing.T) {
	b := newBench(t, func(admin.Commander) admin.Commander { return vague{} })
	res, err := b.client(t, berthToken).PutService(context.Background(), &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berth"})
	if got, ok := res.(*adminapi.UnknownHeaders); err != nil || !ok || got.Response.Command == "" {
		t.Errorf("got %+v, %v", res, err)
	}
}

// An operator reads the empty configuration, and another creates the target
// before the first one's change arrives. Version 0 is a version that can be
// compared with like any other, so the first one is told what was created.
func TestIfMatchOnTheEmptyConfigurationIsCompared(t *testing.T) {
	_, c := stated(t)
	target := bookings()
	target.AnswerWithinMs.SetTo(999)
	_, err := c.PutTarget(context.Background(), target, adminapi.PutTargetParams{
		Name: "berth-booking", IfMatch: adminapi.NewOptString(`"0"`),
	})
	wantProblem(t, err, http.StatusPreconditionFailed, command.ReasonConflict)
}

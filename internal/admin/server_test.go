package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/admin/admintest"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

const (
	berthToken  = "token-of-the-berth-desk"
	recordToken = "token-of-the-records-desk"
	readToken   = "token-for-reading"
)

var at = time.Date(2026, 6, 1, 6, 0, 0, 0, time.UTC)

func hashOf(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

func operators(t *testing.T) *admin.Operators {
	t.Helper()
	o, err := admin.NewOperators([]admin.OperatorSetting{
		{Name: "nimal", Team: "berth", TokenSHA256: hashOf(berthToken)},
		{Name: "kumari", Team: "records", TokenSHA256: hashOf(recordToken)},
		{Name: "screen", Team: "berth", TokenSHA256: hashOf(readToken), ReadOnly: true},
	})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// bench is the API on a loopback socket over a fake.
type bench struct {
	fake      *admintest.Fake
	operators *admin.Operators
	url       string
	log       *bytes.Buffer
}

func newBench(t *testing.T, commander func(admin.Commander) admin.Commander) *bench {
	t.Helper()
	b := &bench{
		fake:      admintest.New(func() time.Time { return at }),
		operators: operators(t),
		log:       new(bytes.Buffer),
	}
	o := admin.Options{
		Commander: b.fake, Reader: b.fake, Operators: b.operators,
		Now: func() time.Time { return at }, Log: zerolog.New(zerolog.SyncWriter(b.log)), MaxCommands: 1,
	}
	if commander != nil {
		o.Commander = commander(b.fake)
	}
	h, err := admin.NewServer(o).Handler()
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	b.url = s.URL + "/v1"
	return b
}

type bearer string

func (b bearer) Bearer(context.Context, adminapi.OperationName) (adminapi.Bearer, error) {
	return adminapi.Bearer{Token: string(b)}, nil
}

func (b *bench) client(t *testing.T, token string) *adminapi.Client {
	t.Helper()
	c, err := adminapi.NewClient(b.url, bearer(token))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func wantProblem(t *testing.T, err error, status int, kind string) *adminapi.ProblemStatusCodeWithHeaders {
	t.Helper()
	var d *adminapi.ProblemStatusCodeWithHeaders
	if !errors.As(err, &d) {
		t.Fatalf("got %v, want status %d", err, status)
	}
	if d.StatusCode != status || d.Response.Status != status || d.Response.Type != kind {
		t.Fatalf("got %+v, want %d %s", d, status, kind)
	}
	return d
}

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
		record, err := c.GetCommand(context.Background(), adminapi.GetCommandParams{ID: adminapi.CommandID(got.MarlpassCommand)})
		if err != nil || record.Outcome != want {
			t.Errorf("%s: got %+v, %v", mode, record, err)
		}
	}
}

func TestRefusals(t *testing.T) {
	b := newBench(t, nil)
	c, other := b.client(t, berthToken), b.client(t, recordToken)
	ctx := context.Background()
	_, err := c.PutTarget(ctx, bookings(), adminapi.PutTargetParams{Name: "berth-booking"})
	d := wantProblem(t, err, 409, admin.TypeRefused)
	if p := d.Response.Problems; len(p) != 1 || p[0].Missing[0] != "berth" || !d.MarlpassCommand.Set {
		t.Errorf("got %+v", d)
	}
	if _, err := c.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berth"}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.PutTarget(ctx, bookings(), adminapi.PutTargetParams{Name: "berth-booking"}); err != nil {
		t.Fatal(err)
	}
	_, err = c.WithdrawService(ctx, adminapi.WithdrawServiceParams{Name: "berth"})
	d = wantProblem(t, err, 409, admin.TypeRefused)
	if p := d.Response.Problems; len(p) != 1 || p[0].Dependents[0] != "target/berth-booking" {
		t.Errorf("got %+v", d)
	}
	_, err = c.WithdrawTarget(ctx, adminapi.WithdrawTargetParams{Name: "berth-booking", IfMatch: adminapi.NewOptString(`"1"`)})
	d = wantProblem(t, err, 412, admin.TypePrecondition)
	if d.Response.Current.Value.Number != 2 || len(d.Response.Changes) != 1 || d.Response.Changes[0].Name != "berth-booking" {
		t.Errorf("got %+v", d)
	}
	_, err = other.PutTarget(ctx, bookings(), adminapi.PutTargetParams{Name: "berth-booking"})
	wantProblem(t, err, 403, admin.TypeForbidden)
	_, err = other.WithdrawTarget(ctx, adminapi.WithdrawTargetParams{Name: "berth-booking"})
	wantProblem(t, err, 403, admin.TypeForbidden)
	_, err = c.GetTarget(ctx, adminapi.GetTargetParams{Name: "none"})
	wantProblem(t, err, 404, admin.TypeNotFound)
	_, err = c.GetDiff(ctx, adminapi.GetDiffParams{From: 1, To: adminapi.NewOptVersionNumber(9)})
	wantProblem(t, err, 404, admin.TypeNotFound)
	_, err = c.GetHistory(ctx, adminapi.GetHistoryParams{Kind: adminapi.NewOptKind(adminapi.KindTarget)})
	wantProblem(t, err, 422, admin.TypeInvalid)
	b.fake.SetMode(admintest.ModeUnavailable)
	_, err = c.WithdrawTarget(ctx, adminapi.WithdrawTargetParams{Name: "berth-booking"})
	if d = wantProblem(t, err, 503, admin.TypeUnavailable); d.RetryAfter.Value != 2 {
		t.Errorf("retry after %v", d.RetryAfter)
	}
	if got := b.fake.Snapshot().Version().Number; got != 2 {
		t.Errorf("a refused change took effect: version %d", got)
	}
}

func TestTokens(t *testing.T) {
	b := newBench(t, nil)
	ctx := context.Background()
	_, err := b.client(t, "guessed-token").ListTargets(ctx)
	if d := wantProblem(t, err, 401, admin.TypeUnauthorized); !strings.HasPrefix(d.WWWAuthenticate.Value, "Bearer") {
		t.Errorf("got %+v", d)
	}
	resp, err := http.Get(b.url + "/targets")
	if err != nil || resp.StatusCode != 401 {
		t.Errorf("without a token: %v, %v", resp, err)
	}
	reader := b.client(t, readToken)
	if _, err := reader.ListTargets(ctx); err != nil {
		t.Error(err)
	}
	_, err = reader.PutService(ctx, &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berth"})
	wantProblem(t, err, 403, admin.TypeForbidden)
	if err := b.operators.Replace(nil); err != nil {
		t.Fatal(err)
	}
	_, err = reader.ListTargets(ctx)
	wantProblem(t, err, 401, admin.TypeUnauthorized)
	if got := b.log.String(); strings.Contains(got, "token-") {
		t.Errorf("a token is in the log: %s", got)
	}
}

func TestGuessedTokensAreBounded(t *testing.T) {
	b := newBench(t, nil)
	guess := b.client(t, "guessed-token")
	var last error
	for range 200 {
		_, last = guess.ListTargets(context.Background())
		var d *adminapi.ProblemStatusCodeWithHeaders
		if errors.As(last, &d) && d.StatusCode == 429 {
			break
		}
	}
	wantProblem(t, last, 429, admin.TypeBusy)
	if _, err := b.client(t, berthToken).ListTargets(context.Background()); err != nil {
		t.Errorf("a valid token is kept out: %v", err)
	}
}

func TestOperatorSettings(t *testing.T) {
	good := admin.OperatorSetting{Name: "nimal", Team: "berth", TokenSHA256: hashOf("x")}
	tests := []struct {
		field string
		list  func() []admin.OperatorSetting
	}{
		{"name", func() []admin.OperatorSetting { s := good; s.Name = ""; return []admin.OperatorSetting{s} }},
		{"team", func() []admin.OperatorSetting { s := good; s.Team = "a b"; return []admin.OperatorSetting{s} }},
		{"token_sha256", func() []admin.OperatorSetting { s := good; s.TokenSHA256 = "plain"; return []admin.OperatorSetting{s} }},
		{"token_sha256", func() []admin.OperatorSetting { return []admin.OperatorSetting{good, good} }},
	}
	for _, test := range tests {
		_, err := admin.NewOperators(test.list())
		var e *admin.SettingError
		if !errors.As(err, &e) || e.Field != test.field {
			t.Errorf("got %v, want a fault of %s", err, test.field)
		}
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

func (h *holding) Submit(ctx context.Context, c *admin.Change) (admin.Outcome, error) {
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
	if d := wantProblem(t, err, 429, admin.TypeBusy); d.RetryAfter.Value < 1 {
		t.Errorf("got %+v", d)
	}
	close(h.release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// failing is a commander whose error nobody thought of.
type failing struct{ admin.Commander }

func (failing) Submit(context.Context, *admin.Change) (admin.Outcome, error) {
	return admin.Outcome{}, context.Canceled
}

// The platform takes the write, and the node's own code then fails in a way
// that no type names. Told as a refusal, the operator would state the change
// again although it is in force.
func TestUnforeseenErrorIsToldAsUnknown(t *testing.T) {
	b := newBench(t, func(c admin.Commander) admin.Commander { return failing{c} })
	res, err := b.client(t, berthToken).PutService(context.Background(), &adminapi.ServiceSpec{}, adminapi.PutServiceParams{Name: "berth"})
	if _, ok := res.(*adminapi.UnknownHeaders); err != nil || !ok {
		t.Errorf("got %+v, %v", res, err)
	}
}

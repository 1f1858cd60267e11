package admin_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

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

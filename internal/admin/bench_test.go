package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/admin/admintest"
	"github.com/marlpass/marlpass/internal/command"
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
		Commander: b.fake, Reader: b.fake, Lifter: b.fake, Operators: b.operators,
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

func wantProblem(t *testing.T, err error, status int, reason command.Reason) *adminapi.ProblemStatusCodeWithHeaders {
	t.Helper()
	kind := admin.TypePrefix + string(reason)
	var d *adminapi.ProblemStatusCodeWithHeaders
	if !errors.As(err, &d) {
		t.Fatalf("got %v, want status %d", err, status)
	}
	if d.StatusCode != status || d.Response.Status != status || d.Response.Type != kind {
		t.Fatalf("got %+v, want %d %s", d, status, kind)
	}
	return d
}

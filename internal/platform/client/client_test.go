package client

import (
	"bytes"
	"context"
	"errors"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/platform/server"
)

// patient are bounds that a working platform meets on any machine.
var patient = Options{Timeout: time.Minute, Total: 5 * time.Minute, FirstBackoff: time.Millisecond, MaxBackoff: time.Millisecond}

func connect(t testing.TB, url string, o Options) *Client {
	t.Helper()
	o.URL = url
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func start(t testing.TB) (*fake.Store, *Client) {
	t.Helper()
	store := fake.New()
	s := httptest.NewServer(server.New(store))
	t.Cleanup(s.Close)
	return store, connect(t, s.URL, patient)
}

func set(key, value string, conditions ...platform.Condition) platform.Txn {
	return platform.Txn{Conditions: conditions, Writes: []platform.Write{{Key: key, Value: []byte(value)}}}
}

func TestNewRefusesABadURL(t *testing.T) {
	for _, url := range []string{"", "10.1.0.5:7300", "ftp://10.1.0.5", "http://"} {
		if _, err := New(Options{URL: url}); err == nil {
			t.Errorf("%q accepted", url)
		}
	}
}

func TestTable(t *testing.T) {
	_, c := start(t)
	ctx, table := t.Context(), c.Table()
	if _, err := table.Get(ctx, "log/1"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("absent row: %v", err)
	}
	value := []byte{0, 1, 0xff, '"'}
	txn := platform.Txn{
		Conditions: []platform.Condition{{Key: "log/1", Revision: platform.Absent}},
		Writes:     []platform.Write{{Key: "log/1", Value: value}, {Key: "log/2"}, {Key: "other", Value: value}},
	}
	if err := table.Commit(ctx, txn); err != nil {
		t.Fatal(err)
	}
	row, err := table.Get(ctx, "log/1")
	if err != nil || !bytes.Equal(row.Value, value) || row.Revision == platform.Absent {
		t.Errorf("got %v, %v", row, err)
	}
	var conflict *platform.ConflictError
	if err := table.Commit(ctx, txn); !errors.As(err, &conflict) || !slices.Equal(conflict.Keys, []string{"log/1"}) {
		t.Errorf("got %v", err)
	}
	rows, err := table.Scan(ctx, "log/", "log/1", 10)
	if err != nil || len(rows) != 1 || rows[0].Key != "log/2" || len(rows[0].Value) != 0 {
		t.Errorf("got %v, %v", rows, err)
	}
	if err := table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "log/1", Delete: true}}}); err != nil {
		t.Error(err)
	}
	if _, err := table.Get(ctx, "log/1"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("deleted row: %v", err)
	}
}

func TestObjects(t *testing.T) {
	_, c := start(t)
	ctx, objects := t.Context(), c.Objects()
	if _, err := objects.Get(ctx, "snapshot/a"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("absent object: %v", err)
	}
	data := bytes.Repeat([]byte{0xfe, 0, '\n'}, 100_000)
	for _, name := range []string{"snapshot/a", "snapshot/b", "z"} {
		if err := objects.Put(ctx, name, data); err != nil {
			t.Fatal(err)
		}
	}
	got, err := objects.Get(ctx, "snapshot/a")
	if err != nil || !bytes.Equal(got, data) {
		t.Errorf("got %d bytes, %v", len(got), err)
	}
	names, err := objects.List(ctx, "snapshot/", "snapshot/a", 10)
	if err != nil || !slices.Equal(names, []string{"snapshot/b"}) {
		t.Errorf("got %v, %v", names, err)
	}
	if err := objects.Delete(ctx, "snapshot/a"); err != nil {
		t.Error(err)
	}
	if _, err := objects.Get(ctx, "snapshot/a"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("deleted object: %v", err)
	}
	if err := objects.Put(ctx, "big", make([]byte, MaxObject+1)); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("too large: %v", err)
	}
}

func TestHealthTellsSinceWhen(t *testing.T) {
	store, c := start(t)
	if h := c.Health(); h.Asked {
		t.Errorf("before the first call: %+v", h)
	}
	// A missing row is an answer too.
	_, _ = c.Table().Get(t.Context(), "k")
	up := c.Health()
	if !up.Answering || up.Since.IsZero() {
		t.Errorf("got %+v", up)
	}
	store.Down(true)
	_, _ = c.Table().Get(t.Context(), "k")
	down := c.Health()
	if down.Answering || down.Err == nil || !down.LastAnswer.Equal(up.LastAnswer) {
		t.Errorf("got %+v", down)
	}
	_, _ = c.Table().Get(t.Context(), "k")
	if again := c.Health(); !again.Since.Equal(down.Since) {
		t.Errorf("down since %v, then since %v", down.Since, again.Since)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	store.Down(false)
	_, _ = c.Table().Get(t.Context(), "k")
	_, _ = c.Table().Get(ctx, "k")
	if h := c.Health(); !h.Answering {
		t.Errorf("a caller's cancellation counts as an outage: %+v", h)
	}
}

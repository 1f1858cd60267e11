package client

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/marlpass/marlpass/internal/platform"
)

// In every case here the platform, or something in between, answers a failure.
// If a transaction that may have been applied were called "unavailable", its
// owner would send it again and it could take effect twice; if one that was
// not were called "unknown", an operator would have to ask for nothing.
func TestWhatAnAnswerSaysOfAWrite(t *testing.T) {
	problem := func(status int, notApplied bool) string {
		return fmt.Sprintf(`{"title":"t","status":%d,"notApplied":%t}`, status, notApplied)
	}
	tests := []struct {
		name       string
		status     int
		body       string
		kind       error
		readTries  int64
		writeTries int64
	}{
		{"marked 503", 503, problem(503, true), platform.ErrUnavailable, 4, 4},
		{"unmarked 503", 503, problem(503, false), platform.ErrUnknown, 4, 1},
		{"503 of something in between", 503, "<html>", platform.ErrUnknown, 4, 1},
		{"500", 500, problem(500, false), platform.ErrUnknown, 4, 1},
		{"limited", 429, problem(429, true), platform.ErrLimited, 4, 4},
		{"limited by something in between", 429, "slow down", platform.ErrLimited, 4, 4},
		{"not valid", 400, problem(400, true), platform.ErrUnavailable, 1, 1},
		{"404 of something in between", 404, "404 page not found", platform.ErrUnknown, 4, 1},
		{"409 of something in between", 409, "{}", platform.ErrUnknown, 4, 1},
		{"redirect", 307, "", platform.ErrUnknown, 4, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				w.Header().Set("Content-Type", "application/problem+json")
				w.Header().Set("Location", "/elsewhere")
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer s.Close()
			c := connect(t, s.URL, patient)
			err := c.Table().Commit(t.Context(), set("k", "v"))
			if !errors.Is(err, test.kind) || calls.Load() != test.writeTries {
				t.Errorf("commit: %d tries, %v", calls.Load(), err)
			}
			if unknown := test.kind == platform.ErrUnknown; errors.Is(err, platform.ErrUnavailable) == unknown {
				t.Errorf("commit is both unknown and unavailable, or neither: %v", err)
			}
			calls.Store(0)
			_, err = c.Table().Get(t.Context(), "k")
			if !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown) || calls.Load() != test.readTries {
				t.Errorf("get: %d tries, %v", calls.Load(), err)
			}
		})
	}
}

// A command is committed but the connection breaks before the answer. Its
// owner must hear "unknown", send nothing again, and learn by reading back
// that it took effect.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	store, c := start(t)
	store.LoseNext(1)
	err := c.Table().Commit(t.Context(), set("command/1", "accepted", platform.Condition{Key: "command/1"}))
	if !errors.Is(err, platform.ErrUnknown) || errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("got %v", err)
	}
	if n := store.Counts().Writes; n != 1 {
		t.Errorf("%d writes reached the platform", n)
	}
	row, err := c.Table().Get(t.Context(), "command/1")
	if err != nil || string(row.Value) != "accepted" {
		t.Errorf("got %v, %v", row, err)
	}
	if got := c.metrics.unknown.Get(); got != 1 {
		t.Errorf("counted %d unknown outcomes", got)
	}
}

// Objects are named by their content, so a put whose answer is lost is simply
// sent again; a caller who heard "unknown" would have nothing better to do.
func TestLostAnswerOfAnObjectIsRetried(t *testing.T) {
	store, c := start(t)
	store.LoseNext(2)
	if err := c.Objects().Put(t.Context(), "snapshot/a", []byte("x")); err != nil {
		t.Error(err)
	}
	store.LoseAnswers(1)
	if err := c.Objects().Put(t.Context(), "snapshot/a", []byte("x")); !errors.Is(err, platform.ErrUnknown) {
		t.Errorf("got %v", err)
	}
}

// The platform is gone: its port refuses connections. Nothing was sent, so a
// transaction certainly did not take effect and its owner may be told so.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	l := listen(t)
	l.Close()
	c := connect(t, "http://"+l.Addr().String(), patient)
	err := c.Table().Commit(t.Context(), set("k", "v"))
	if !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknown) {
		t.Errorf("got %v", err)
	}
	if got := c.metrics.retries.Get(); got != DefaultTries-1 {
		t.Errorf("%d retries", got)
	}
}

// The same failure seen through a transport that doesn't tell whether it had a
// connection: it can't be called "not applied".
func TestForeignTransportLeavesDoubt(t *testing.T) {
	o := patient
	o.Transport = roundTripper(func(*http.Request) (*http.Response, error) {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	})
	c := connect(t, "http://127.0.0.1:1", o)
	if err := c.Table().Commit(t.Context(), set("k", "v")); !errors.Is(err, platform.ErrUnknown) {
		t.Errorf("got %v", err)
	}
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// The platform's answer breaks off half way through an object. The caller must
// get an error, never the first half as if it were the object.
func TestAnswerCutShortIsAnError(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", "1000")
		_, _ = io.WriteString(w, "half")
	}))
	defer s.Close()
	data, err := connect(t, s.URL, patient).Objects().Get(t.Context(), "snapshot/a")
	if !errors.Is(err, platform.ErrUnavailable) || data != nil {
		t.Errorf("got %q, %v", data, err)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

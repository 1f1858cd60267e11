package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/settings/strict"
)

func TestCheckAnswer(t *testing.T) {
	var buf bytes.Buffer
	if err := WriteAnswer(&buf, "r1", 100, nil); err != nil {
		t.Fatal(err)
	}
	whole := buf.Bytes()
	if len(whole) != AnswerLength("r1", 100) {
		t.Fatalf("length %d, want %d", len(whole), AnswerLength("r1", 100))
	}
	if err := CheckAnswer("r1", bytes.NewReader(whole)); err != nil {
		t.Fatal(err)
	}
	if err := CheckAnswer("r2", bytes.NewReader(whole)); !errors.Is(err, ErrOther) {
		t.Fatalf("another's answer: %v", err)
	}
	for n := range whole {
		if err := CheckAnswer("r1", bytes.NewReader(whole[:n])); err == nil {
			t.Fatalf("cut to %d bytes: taken as whole", n)
		}
		damaged := bytes.Clone(whole)
		damaged[n] ^= 1
		if err := CheckAnswer("r1", bytes.NewReader(damaged)); err == nil {
			t.Fatalf("damaged at %d: taken as good", n)
		}
	}
}

func TestLongAnswer(t *testing.T) {
	var buf bytes.Buffer
	pauses := 0
	err := WriteAnswer(&buf, "r1", 3*fillerPart+5, func() error { pauses++; return nil })
	if err != nil || pauses != 3 {
		t.Fatalf("%d pauses, %v", pauses, err)
	}
	if err := CheckAnswer("r1", &buf); err != nil {
		t.Fatal(err)
	}
}

// start runs a ready server that answers at once.
func start(t *testing.T, change func(*Settings)) *Server {
	set := Defaults()
	set.Distribution, set.Mean.Duration, set.ColdStart.Duration, set.ConnectionCost.Duration = Fixed, 0, 0, 0
	set.DrainWait.Duration, set.CrashDown.Duration = 0, 10*time.Millisecond
	if change != nil {
		change(&set)
	}
	if err := set.Check("defaults"); err != nil {
		t.Fatal(err)
	}
	s := New(set, zerolog.Nop())
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	await(t, func() bool { return s.State() == Ready })
	return s
}

// await polls until ok; the test's own timeout is the only bound.
func await(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		time.Sleep(time.Millisecond)
	}
}

// request sends a request and returns status, headers and body.
func request(s *Server, query, id string, header ...string) (*http.Response, string, error) {
	req, _ := http.NewRequest("GET", "http://"+s.Addr()+"/x?"+query, nil)
	req.Header.Set(HeaderRequest, id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

func TestAnswersAndCountsRuns(t *testing.T) {
	s := start(t, nil)
	for _, id := range []string{"a", "b", "a"} {
		resp, body, err := request(s, "bytes=10", id)
		if err != nil {
			t.Fatal(err)
		}
		if err := CheckAnswer(id, strings.NewReader(body)); err != nil {
			t.Fatal(err)
		}
		if resp.Header.Get(call.HeaderLoad) != "1/6" {
			t.Fatalf("load %q", resp.Header.Get(call.HeaderLoad))
		}
	}
	r := s.Runs()
	if r.Runs != 3 || r.Requests != 2 || r.Doubled["a"] != 2 || len(r.Doubled) != 1 {
		t.Fatalf("got %+v", r)
	}
}

// A server without a free slot refuses, and repeats the nonce of the attempt,
// so that the node believes that nothing was run.
func TestShedsWithNonce(t *testing.T) {
	s := start(t, func(set *Settings) { set.Slots, set.Backlog = 1, 0 })
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(done)
		req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.Addr()+"/x?time=1h", nil)
		http.DefaultClient.Do(req)
	}()
	await(t, func() bool { return s.slots.busy() == 1 })
	resp, _, err := request(s, "", "r2", call.HeaderAttempt, "n0nce")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(call.HeaderRefused) != "n0nce" {
		t.Fatalf("got %v %v", resp, err)
	}
	if n := s.RunsByID()["r2"]; n != 0 {
		t.Fatalf("run %d times", n)
	}
	cancel()
	<-done
}

// A marked request takes the process down: its caller and all others lose
// their connections, new ones are refused, and the server comes back cold.
func TestCrashAndReturn(t *testing.T) {
	s := start(t, nil)
	if _, _, err := request(s, "", "bad", HeaderCrash, "1"); err == nil {
		t.Fatal("the marked request was answered")
	}
	if s.Crashes() != 1 {
		t.Fatalf("%d crashes", s.Crashes())
	}
	await(t, func() bool { return !s.Down() && s.State() == Ready })
	if _, body, err := request(s, "", "good"); err != nil || CheckAnswer("good", strings.NewReader(body)) != nil {
		t.Fatalf("after the return: %q %v", body, err)
	}
}

// A drain lets the request in flight end before the server does.
func TestDrainFinishes(t *testing.T) {
	s := start(t, nil)
	got := make(chan error, 1)
	go func() {
		_, body, err := request(s, "time=50ms&bytes=20000", "long")
		if err == nil {
			err = CheckAnswer("long", strings.NewReader(body))
		}
		got <- err
	}()
	await(t, func() bool { return s.slots.busy() == 1 })
	if err := s.Drain(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := <-got; err != nil {
		t.Fatal(err)
	}
}

func TestDrainLimitIsReported(t *testing.T) {
	s := start(t, func(set *Settings) { set.DrainLimit.Duration = time.Millisecond })
	go request(s, "time=1h", "long")
	await(t, func() bool { return s.slots.busy() == 1 })
	if err := s.Drain(context.Background()); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v", err)
	}
}

func TestModes(t *testing.T) {
	s := start(t, nil)
	s.SetMode(ModeFastFail)
	resp, _, err := request(s, "", "r1")
	if err != nil || resp.StatusCode != http.StatusInternalServerError || resp.Header.Get(call.HeaderLoad) != "0/6" {
		t.Fatalf("fast-fail: %v %v", resp, err)
	}
	s.SetMode(ModeStale)
	resp, _, err = request(s, "", "r2")
	if err != nil || resp.Header.Get(call.HeaderLoad) != "0/6" {
		t.Fatalf("stale: %v %v", resp, err)
	}
	s.SetMode(ModeSilent)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+s.Addr()+"/x", nil)
	if _, err := http.DefaultClient.Do(req); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("silent: %v", err)
	}
}

func TestSettings(t *testing.T) {
	for key, change := range map[string]func(*Settings){
		"listen":       func(s *Settings) { s.Listen = "nowhere" },
		"service":      func(s *Settings) { s.Service = "" },
		"instance":     func(s *Settings) { s.Instance = "" },
		"slots":        func(s *Settings) { s.Slots = 0 },
		"backlog":      func(s *Settings) { s.Backlog = -1 },
		"distribution": func(s *Settings) { s.Distribution = "odd" },
		"mean":         func(s *Settings) { s.Mean.Duration = -1 },
		"drain_limit":  func(s *Settings) { s.DrainLimit.Duration = 2 * time.Hour },
	} {
		set := Defaults()
		change(&set)
		var bad *strict.Error
		if err := set.Check("test"); !errors.As(err, &bad) || bad.Key != key {
			t.Errorf("%s: got %v", key, err)
		}
	}
}

// A request that reaches a server after its order to drain is counted, and when.
func TestWorkAfterDrainIsCounted(t *testing.T) {
	s := start(t, func(set *Settings) { set.DrainWait = strict.Duration{Duration: time.Hour} })
	if n, last := s.AfterDrain(); n != 0 || last != 0 {
		t.Fatalf("before the drain: %d, %s", n, last)
	}
	ctx, cancel := context.WithCancel(context.Background())
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(ctx) }()
	await(t, func() bool { return s.State() == Draining })
	if _, _, err := request(s, "", "late"); err != nil {
		t.Fatal(err)
	}
	if n, last := s.AfterDrain(); n != 1 || last <= 0 {
		t.Fatalf("after the drain: %d, %s", n, last)
	}
	cancel()
	<-drained
}

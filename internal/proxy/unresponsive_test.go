package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/retry"
)

// notReadyAdmitter refuses every call, as a node that is still starting.
type notReadyAdmitter struct{}

func (notReadyAdmitter) Admit(time.Time, *config.Target) *call.Refusal {
	return &call.Refusal{Reason: call.ReasonNotReady, RetryAfter: time.Second}
}

// Guards against a node that listens before it has its configuration and answers "no route", on
// which a caller does not try another node. It must answer that it is not ready.
func TestNodeWithoutConfigurationIsNotReady(t *testing.T) {
	target := bookings()
	target.Match.PathPrefix = "/berths"
	m := newMesh(t, target, func(http.ResponseWriter, *http.Request) {})
	m.entry.Admitter = notReadyAdmitter{}
	resp, _, err := m.call("POST", "/launch", "x")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(call.HeaderNotRun) != string(call.ReasonNotReady) {
		t.Fatalf("got %d %q", resp.StatusCode, resp.Header.Get(call.HeaderNotRun))
	}
}

// blockedGate is a gate without free slots: every call waits until its deadline.
type blockedGate struct{}

func (blockedGate) Acquire(ctx context.Context, _ Backend, _ *config.Target, times limit.AcquireOptions) (Permit, error) {
	t := time.NewTimer(time.Until(times.Deadline))
	defer t.Stop()
	select {
	case <-t.C:
		return nil, refuse(call.ReasonExpired, 0, "")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// policyRetrier applies one retry policy to all services.
type policyRetrier struct{ p *retry.Policy }

func (p policyRetrier) Called(string) { p.p.RecordCall() }

func (p policyRetrier) Decide(_ string, in retry.Input) retry.Decision { return p.p.Decide(in) }

// Guards against a lookup that waits for half of its time in the queue of an endpoint whose slots
// are held on silent connections, expires there, and is reported as past its deadline although time
// is left and the other endpoint is idle.
func TestLookupExpiredInOneQueueIsRetriedElsewhere(t *testing.T) {
	m := newMesh(t, lookups(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.dest[0].Gates = blockedGate{}
	m.entry.Self, m.entry.Local = "vm0", m.dest[0]
	m.entry.Retrier = policyRetrier{retry.New(retry.Options{})}
	m.picker.next.Store(^uint64(0))
	resp, body, err := m.call("GET", "/", "", call.HeaderDeadline, "1000")
	if err != nil || body != "ok" {
		t.Fatalf("got %v %q %v", resp, body, err)
	}
}

// Guards against timeouts or departed callers at two endpoints that count as two crashes: the entry
// node quarantined the lookup for seconds while connections were silent.
func TestTimeoutIsNotACrash(t *testing.T) {
	release := make(chan struct{})
	m := newMesh(t, lookups(), func(w http.ResponseWriter, r *http.Request) { <-release })
	t.Cleanup(func() { close(release) })
	list := quarantine.New(time.Now(), quarantine.Options{Self: "vm9"})
	m.entry.Suspects = listSuspects{list}
	for range 3 {
		resp, _, err := m.call("GET", "/", "", call.HeaderDeadline, "40")
		if err != nil || resp.Header.Get(call.HeaderNotRun) != "" {
			t.Fatalf("waiting: got %v %v", resp, err)
		}
	}
	for range 3 {
		began := m.runs.Load()
		ctx, leave := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, "GET", m.public.URL+"/", nil)
		go func() {
			for m.runs.Load() == began {
				time.Sleep(time.Millisecond)
			}
			leave()
		}()
		if resp, err := http.DefaultClient.Do(req); !errors.Is(err, context.Canceled) {
			t.Fatalf("leaving: got %v %v", resp, err)
		}
	}
	resp, _, err := m.call("GET", "/", "", call.HeaderDeadline, "40")
	if err != nil || resp.Header.Get(call.HeaderNotRun) != "" {
		t.Fatalf("after it: got %v %v", resp, err)
	}
}

// listSuspects implements the entry node's part of Suspects with a quarantine list.
type listSuspects struct{ *quarantine.List }

func (l listSuspects) Blocked(now time.Time, fp quarantine.Fingerprint) *call.Refusal {
	if e, blocked := l.List.Blocked(now, fp); blocked {
		return e.NewRefusal(now)
	}
	return nil
}

func (l listSuspects) Pinned(time.Time, Backend, quarantine.Fingerprint) *call.Refusal { return nil }

func (l listSuspects) Start(time.Time, Backend, quarantine.Fingerprint, quarantine.Request) (quarantine.Token, error) {
	return quarantine.Token{}, nil
}

func (l listSuspects) Done(time.Time, Backend, quarantine.Token, quarantine.RunResult) {}

// Guards against an answer whose connection goes silent in the middle: the caller waited half a
// minute for a class that answers within two seconds. The abort must leave time for a retry.
func TestStalledAnswerIsAborted(t *testing.T) {
	release := make(chan struct{})
	target := lookups()
	target.DeadlineMS = 1000
	m := newMesh(t, target, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		<-release
	})
	t.Cleanup(func() { close(release) })
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, "GET", m.public.URL+"/", nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if !errors.Is(err, io.ErrUnexpectedEOF) || !strings.HasPrefix("part", string(b)) {
		t.Fatalf("got %q %v", b, err)
	}
}

func TestStallOf(t *testing.T) {
	for _, tt := range []struct {
		deadlineMS int64
		idempotent bool
		want       time.Duration
	}{
		{0, false, 30 * time.Second},
		{0, true, 15 * time.Second},
		{3_600_000, true, 30 * time.Second},
		{4000, false, 4 * time.Second},
		{4000, true, 2 * time.Second},
		{50, false, time.Second},
	} {
		if got := stallTimeoutOf(&config.Target{DeadlineMS: tt.deadlineMS, Idempotent: tt.idempotent}); got != tt.want {
			t.Errorf("%d ms, idempotent %t: %s, want %s", tt.deadlineMS, tt.idempotent, got, tt.want)
		}
	}
}

// Guards against an isolated lookup that uses up its attempts at the endpoint selected by its
// fingerprint, which is down, while another endpoint is idle.
func TestIsolatedCallSkipsUnavailableEndpoints(t *testing.T) {
	for _, first := range []int{0, 1} {
		m := newMesh(t, lookups(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
		m.entry.Suspects = suspectAll{}
		m.dest[first].Drain()
		resp, body, err := m.call("GET", "/", "")
		if err != nil || body != "ok" {
			t.Fatalf("endpoint %d is down: got %v %q %v", first, resp, body, err)
		}
	}
}

// suspectAll treats every request as a suspect.
type suspectAll struct{}

func (suspectAll) Blocked(time.Time, quarantine.Fingerprint) *call.Refusal         { return nil }
func (suspectAll) Isolated(time.Time, quarantine.Fingerprint) bool                 { return true }
func (suspectAll) CrashedAt(time.Time, quarantine.Fingerprint) []string            { return nil }
func (suspectAll) Broke(time.Time, quarantine.Fingerprint, string)                 {}
func (suspectAll) Answered(time.Time, quarantine.Fingerprint)                      {}
func (suspectAll) Done(time.Time, Backend, quarantine.Token, quarantine.RunResult) {}
func (suspectAll) Pinned(time.Time, Backend, quarantine.Fingerprint) *call.Refusal {
	return nil
}
func (suspectAll) Start(time.Time, Backend, quarantine.Fingerprint, quarantine.Request) (quarantine.Token, error) {
	return quarantine.Token{}, nil
}

// expiringGate refuses every call as expired, just before its deadline.
type expiringGate struct{}

func (expiringGate) Acquire(context.Context, Backend, *config.Target, limit.AcquireOptions) (Permit, error) {
	return nil, refuse(call.ReasonExpired, 0, "")
}

// Guards against a booking that expires in a full queue just before its deadline and is then sent
// to another endpoint: it waited there past its deadline and was reported as "may have run".
func TestCallExpiredAtItsDeadlineIsNotRetried(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	m.dest[0].Gates = expiringGate{}
	m.entry.Retrier = policyRetrier{retry.New(retry.Options{})}
	m.picker.next.Store(^uint64(0))
	resp, _, err := m.call("POST", "/", "x")
	if err != nil || resp.Header.Get(call.HeaderNotRun) != string(call.ReasonExpired) || m.runs.Load() != 0 {
		t.Fatalf("got %v %v, run %d times", resp, err, m.runs.Load())
	}
}

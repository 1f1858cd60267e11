package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
)

// memoryDeduplicator keeps claims in memory.
type memoryDeduplicator struct {
	mu     sync.Mutex
	stored map[string]*Stored // nil while claimed
	events []string
	ended  chan struct{}
}

func newMemoryDeduplicator() *memoryDeduplicator {
	return &memoryDeduplicator{stored: map[string]*Stored{}, ended: make(chan struct{}, 16)}
}

func (k *memoryDeduplicator) Begin(_ context.Context, c KeyedCall) (Claim, *Stored, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, claimed := k.stored[c.Key]
	switch {
	case s != nil:
		return nil, s, nil
	case claimed:
		return nil, nil, ErrOutcomeUnknown
	}
	k.stored[c.Key] = nil
	return &memoryClaim{k, c.Key}, nil, nil
}

type memoryClaim struct {
	d   *memoryDeduplicator
	key string
}

func (c *memoryClaim) Started(context.Context) error { return nil }

func (c *memoryClaim) end(event string, s *Stored) {
	c.d.mu.Lock()
	c.d.events = append(c.d.events, event)
	if event == "abandon" {
		delete(c.d.stored, c.key)
	} else {
		c.d.stored[c.key] = s
	}
	c.d.mu.Unlock()
	c.d.ended <- struct{}{}
}

func (c *memoryClaim) Finish(_ context.Context, s Stored) { c.end("finish", &s) }
func (c *memoryClaim) Abandon(context.Context)            { c.end("abandon", nil) }
func (c *memoryClaim) Lost(context.Context)               { c.end("lost", nil) }

func newKeyedMesh(t *testing.T, h http.HandlerFunc) (*mesh, *memoryDeduplicator) {
	m := newMesh(t, bookings(), h)
	k := newMemoryDeduplicator()
	for _, d := range m.dest {
		d.Keeper = k
	}
	return m, k
}

// A caller's connection breaks after it sent a keyed call, and it retries. The first run must continue
// without the caller, and the retry must get its answer.
func TestKeyedCallContinuesWithoutCaller(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	m, k := newKeyedMesh(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		w.Header().Set("X-Ticket", "7")
		io.WriteString(w, "submitted")
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", m.public.URL+"/submit", strings.NewReader("price"))
	req.Header.Set("Idempotency-Key", "k1")
	go func() {
		<-begun
		cancel()
	}()
	if _, err := m.public.Client().Do(req); err == nil {
		t.Fatal("the first request was answered")
	}
	close(finish)
	<-k.ended
	resp, body, err := m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
	if err != nil || body != "submitted" || resp.Header.Get("X-Ticket") != "7" {
		t.Fatalf("got %v %q %v", resp, body, err)
	}
	if n := m.runs.Load(); n != 1 {
		t.Fatalf("run %d times", n)
	}
}

// The backend server crashes while it runs a keyed call, so the outcome is unknown. The claim must
// stay, and a retry must neither run nor be answered "not run".
func TestLostKeyedCallStaysUnknown(t *testing.T) {
	m, k := newKeyedMesh(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for i, want := range []int{http.StatusBadGateway, http.StatusConflict} {
		resp, _, err := m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
		if err != nil || resp.StatusCode != want || resp.Header.Get(call.HeaderNotRun) != "" {
			t.Fatalf("request %d: got %v %v, want %d", i, resp, err, want)
		}
		if i == 0 {
			<-k.ended
		}
	}
	if n := m.runs.Load(); n != 1 || k.events[0] != "lost" {
		t.Fatalf("run %d times, events %v", n, k.events)
	}
}

// The answer to a keyed call is larger than the storage limit. A retry must not get a truncated answer
// as if it were complete.
func TestOversizedKeyedAnswerIsNotTruncated(t *testing.T) {
	m, k := newKeyedMesh(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", maxStoredBody+1))
	})
	_, body, err := m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
	if err != nil || len(body) != maxStoredBody+1 {
		t.Fatalf("the first request got %d bytes, %v", len(body), err)
	}
	<-k.ended
	resp, body, err := m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
	if err != nil || resp.StatusCode != http.StatusConflict || !strings.Contains(body, "the call has run") {
		t.Fatalf("the retry got %v %q %v", resp, body, err)
	}
	if n := m.runs.Load(); n != 1 {
		t.Fatalf("run %d times", n)
	}
}

// A backend server refuses a keyed call. The claim must be abandoned, so that the next attempt, at
// another node, can claim the key.
func TestRefusedKeyedCallAbandonsClaim(t *testing.T) {
	m, k := newKeyedMesh(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(call.HeaderRefused, r.Header.Get(call.HeaderAttempt))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	m.useOnly(0)
	resp, _, err := m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
	if err != nil || resp.Header.Get(call.HeaderNotRun) != string(call.ReasonBackend) {
		t.Fatalf("got %v %v", resp, err)
	}
	<-k.ended
	if k.events[0] != "abandon" {
		t.Fatalf("events %v", k.events)
	}
}

// An idempotent class ignores the idempotency key: no claim is made, and the key is forwarded.
func TestKeyOfIdempotentClassIsPassedOn(t *testing.T) {
	m := newMesh(t, lookups(), func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Header.Get("Idempotency-Key"))
	})
	k := newMemoryDeduplicator()
	m.dest[0].Keeper, m.dest[1].Keeper = k, k
	_, body, err := m.call("POST", "/", "x", "Idempotency-Key", "k1")
	if err != nil || body != "k1" || len(k.stored) != 0 {
		t.Fatalf("got %q %v, claims %v", body, err, k.stored)
	}
}

func TestKeyedCallNeedsKnownLength(t *testing.T) {
	m, _ := newKeyedMesh(t, func(http.ResponseWriter, *http.Request) {})
	req, _ := http.NewRequest("POST", m.public.URL+"/", io.MultiReader(strings.NewReader("x")))
	req.Header.Set("Idempotency-Key", "k1")
	resp, err := m.public.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest || m.runs.Load() != 0 {
		t.Fatalf("got %d, run %d times", resp.StatusCode, m.runs.Load())
	}
}

// unavailableDeduplicator refuses every claim as store-down once down is set.
type unavailableDeduplicator struct {
	*memoryDeduplicator
	down bool
}

func (k *unavailableDeduplicator) Begin(ctx context.Context, c KeyedCall) (Claim, *Stored, error) {
	if k.down {
		return nil, nil, &call.Refusal{Reason: call.ReasonStoreDown, Detail: "no claim"}
	}
	return k.memoryDeduplicator.Begin(ctx, c)
}

// A keyed call runs and its answer is lost, and the platform is down when the caller retries. No node
// can tell whether the key ran, so the retry must not be answered "not run", or the caller may repeat
// the call under a new key.
func TestRetryWhilePlatformIsDownIsNotReportedNotRun(t *testing.T) {
	m := newMesh(t, bookings(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	k := &unavailableDeduplicator{memoryDeduplicator: newMemoryDeduplicator()}
	m.dest[0].Keeper, m.dest[1].Keeper = k, k
	m.call("POST", "/charge", "x", "Idempotency-Key", "k1")
	<-k.ended
	k.down = true
	resp, body, err := m.call("POST", "/charge", "x", "Idempotency-Key", "k1")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, %v", resp, err)
	}
	if why := resp.Header.Get(call.HeaderNotRun); why != "" || strings.Contains(body, `"not_run":true`) {
		t.Errorf("answered not run: %q %s", why, body)
	}
	if !strings.Contains(body, string(call.ReasonStoreDown)) || m.runs.Load() != 1 {
		t.Errorf("answered %s, run %d times", body, m.runs.Load())
	}
}

// Many uploads use up a node's memory for buffered bodies. A keyed call with a short body must be
// refused as overloaded, which callers retry, and not with 400.
func TestKeyedCallWithoutBufferMemoryIsOverloaded(t *testing.T) {
	m, _ := newKeyedMesh(t, func(http.ResponseWriter, *http.Request) {})
	for _, d := range m.dest {
		if !d.kept.take(keptBodyTotal) {
			t.Fatal("no buffer memory at the start")
		}
	}
	resp, _, err := m.call("POST", "/", "hull 7", "Idempotency-Key", "k1")
	if err != nil || resp.Header.Get(call.HeaderNotRun) != string(call.ReasonOverloaded) || m.runs.Load() != 0 {
		t.Fatalf("got %v %v, run %d times", resp, err, m.runs.Load())
	}
}

// A backend server answers a keyed call with an invalid status code, and net/http panics when it is
// relayed. The claim must be recorded as lost: an empty answer stored as complete would panic again on
// every retry.
func TestUnrelayableAnswerIsRecordedAsLost(t *testing.T) {
	m, k := newKeyedMesh(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		io.WriteString(c, "HTTP/1.1 042 Odd\r\nContent-Length: 0\r\n\r\n")
		c.Close()
	})
	m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
	<-k.ended
	resp, _, err := m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
	if err != nil || resp.StatusCode != http.StatusConflict || m.runs.Load() != 1 {
		t.Fatalf("the retry got %v, %v; events %v, run %d times", resp, err, k.events, m.runs.Load())
	}
}

// busyOnceGate refuses the first call of all gates that share total.
type busyOnceGate struct {
	FixedLimit
	total *atomic.Int64
	calls atomic.Int64
}

func (g *busyOnceGate) Acquire(ctx context.Context, b Backend, t *config.Target, times limit.AcquireOptions) (Permit, error) {
	g.calls.Add(1)
	if g.total.Add(1) == 1 {
		return nil, &call.Refusal{Reason: call.ReasonOverloaded}
	}
	return g.FixedLimit.Acquire(ctx, b, t, times)
}

// The platform is down, and calls are deduplicated by the node that their key selects. If that node is
// overloaded, the call must not run elsewhere: its retry would go to the selected node, which doesn't
// know the key, and run a second time. A node that drains is skipped.
func TestLocallyGuardedCallStaysAtItsNode(t *testing.T) {
	target := bookings()
	target.OnStoreDown = config.OnStoreDownLocalGuard
	m := newMesh(t, target, func(http.ResponseWriter, *http.Request) {})
	var all atomic.Int64
	gates := [2]*busyOnceGate{{total: &all}, {total: &all}}
	for i, d := range m.dest {
		d.Gates = gates[i]
	}
	resp, _, err := m.call("POST", "/", "hull 7", "Idempotency-Key", "k1")
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v", resp, err)
	}
	if a, b := gates[0].calls.Load(), gates[1].calls.Load(); a != 0 && b != 0 {
		t.Errorf("%d attempts at one node, %d at the other", a, b)
	}
	m.dest[0].Drain()
	m.useAll()
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		if resp, _, err := m.call("POST", "/", "x", "Idempotency-Key", key); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s while a node drains: %v, %v", key, resp, err)
		}
	}
}

// A keyed call gets an endless answer, and its caller leaves. The call continues for retries and must
// end at its deadline, or it would hold its slot and block a graceful stop.
func TestEndlessAnswerEndsWithItsDeadline(t *testing.T) {
	var stop atomic.Bool
	m, k := newKeyedMesh(t, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil && !stop.Load() {
			io.WriteString(w, "line\n")
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
	})
	t.Cleanup(func() { stop.Store(true) })
	var clockOffset atomic.Int64
	for _, d := range m.dest {
		d.Now = func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	}
	ctx, leave := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", m.public.URL+"/", strings.NewReader("x"))
	req.Header.Set("Idempotency-Key", "k1")
	resp, err := m.public.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	leave()
	resp.Body.Close()
	clockOffset.Store(int64(2 * maxDeadline))
	select {
	case <-k.ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the call is still running")
	}
	if k.events[0] != "lost" {
		t.Errorf("events %v", k.events)
	}
}

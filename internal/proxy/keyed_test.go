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

// memoryClaims keeps claims in memory.
type memoryClaims struct {
	mu     sync.Mutex
	stored map[string]*Stored // nil while claimed
	events []string
	ended  chan struct{}
}

func newMemoryClaims() *memoryClaims {
	return &memoryClaims{stored: map[string]*Stored{}, ended: make(chan struct{}, 16)}
}

func (k *memoryClaims) Begin(_ context.Context, c KeyedCall) (Claim, *Stored, error) {
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
	k   *memoryClaims
	key string
}

func (c *memoryClaim) Started(context.Context) error { return nil }

func (c *memoryClaim) end(event string, s *Stored) {
	c.k.mu.Lock()
	c.k.events = append(c.k.events, event)
	if event == "abandon" {
		delete(c.k.stored, c.key)
	} else {
		c.k.stored[c.key] = s
	}
	c.k.mu.Unlock()
	c.k.ended <- struct{}{}
}

func (c *memoryClaim) Finish(_ context.Context, s Stored) { c.end("finish", &s) }
func (c *memoryClaim) Abandon(context.Context)            { c.end("abandon", nil) }
func (c *memoryClaim) Lost(context.Context)               { c.end("lost", nil) }

func newKeyedMesh(t *testing.T, h http.HandlerFunc) (*mesh, *memoryClaims) {
	m := newMesh(t, bookings(), h)
	k := newMemoryClaims()
	for _, d := range m.dest {
		d.Deduplicator = k
	}
	return m, k
}

// If the caller's connection breaks after the call was sent, the call runs on, and a resend gets
// the answer of that run.
func TestKeyedCallOutlivesItsCaller(t *testing.T) {
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
		t.Fatal("the first sending was answered")
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

// If the backend server dies during a keyed call, its outcome is unknown. The claim stays, and a
// resend is neither run again nor reported as not run.
func TestLostKeyedCallStaysUnknown(t *testing.T) {
	m, k := newKeyedMesh(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	for i, want := range []int{http.StatusBadGateway, http.StatusConflict} {
		resp, _, err := m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
		if err != nil || resp.StatusCode != want || resp.Header.Get(call.HeaderNotRun) != "" {
			t.Fatalf("sending %d: got %v %v, want %d", i, resp, err, want)
		}
		if i == 0 {
			<-k.ended
		}
	}
	if n := m.runs.Load(); n != 1 || k.events[0] != "lost" {
		t.Fatalf("run %d times, events %v", n, k.events)
	}
}

// Guards against a resend that gets the beginning of an answer, too large to store, as the whole.
func TestTooLargeKeyedAnswerIsNotTruncated(t *testing.T) {
	m, k := newKeyedMesh(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", maxStoredBody+1))
	})
	_, body, err := m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
	if err != nil || len(body) != maxStoredBody+1 {
		t.Fatalf("the first sending got %d bytes, %v", len(body), err)
	}
	<-k.ended
	resp, body, err := m.call("POST", "/submit", "price", "Idempotency-Key", "k1")
	if err != nil || resp.StatusCode != http.StatusConflict || !strings.Contains(body, "the call has run") {
		t.Fatalf("the resend got %v %q %v", resp, body, err)
	}
	if n := m.runs.Load(); n != 1 {
		t.Fatalf("run %d times", n)
	}
}

// When a backend server refuses a keyed call, the claim is released so that the next attempt, at
// another node, can take it.
func TestRefusedKeyedCallIsAbandoned(t *testing.T) {
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

// An idempotency key has no effect on an idempotent class.
func TestKeyOfIdempotentClassIsForwarded(t *testing.T) {
	m := newMesh(t, lookups(), func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Header.Get("Idempotency-Key"))
	})
	k := newMemoryClaims()
	m.dest[0].Deduplicator, m.dest[1].Deduplicator = k, k
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

// unavailableClaims cannot reach its platform once down is set.
type unavailableClaims struct {
	*memoryClaims
	down bool
}

func (k *unavailableClaims) Begin(ctx context.Context, c KeyedCall) (Claim, *Stored, error) {
	if k.down {
		return nil, nil, &call.Refusal{Reason: call.ReasonStoreDown, Detail: "no claim"}
	}
	return k.memoryClaims.Begin(ctx, c)
}

// Guards against a second charge: the first sending may have run, and its resend during a platform
// outage was reported as "not run", so that the caller charged anew under another key.
func TestResendDuringPlatformOutageIsUnknown(t *testing.T) {
	m := newMesh(t, bookings(), func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	k := &unavailableClaims{memoryClaims: newMemoryClaims()}
	m.dest[0].Deduplicator, m.dest[1].Deduplicator = k, k
	m.call("POST", "/charge", "x", "Idempotency-Key", "k1")
	<-k.ended
	k.down = true
	resp, body, err := m.call("POST", "/charge", "x", "Idempotency-Key", "k1")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, %v", resp, err)
	}
	if why := resp.Header.Get(call.HeaderNotRun); why != "" || strings.Contains(body, `"not_run":true`) {
		t.Errorf("reported as not run: %q %s", why, body)
	}
	if !strings.Contains(body, string(call.ReasonStoreDown)) || m.runs.Load() != 1 {
		t.Errorf("got %s, run %d times", body, m.runs.Load())
	}
}

// Guards against a keyed call with a short body that was answered 400, which is permanent, while
// many uploads used up the memory for buffered bodies. It must be refused as overloaded.
func TestKeyedCallWithExhaustedBodyBudgetIsOverloaded(t *testing.T) {
	m, _ := newKeyedMesh(t, func(http.ResponseWriter, *http.Request) {})
	for _, d := range m.dest {
		if !d.bodies.reserve(maxBufferedTotal) {
			t.Fatal("no memory to begin with")
		}
	}
	resp, _, err := m.call("POST", "/", "hull 7", "Idempotency-Key", "k1")
	if err != nil || resp.Header.Get(call.HeaderNotRun) != string(call.ReasonOverloaded) || m.runs.Load() != 0 {
		t.Fatalf("got %v %v, run %d times", resp, err, m.runs.Load())
	}
}

// Guards against an answer with an invalid status, on which net/http panics while it is relayed. An
// empty answer was then recorded as complete, and every resend hit the same panic.
func TestInvalidStatusIsRecordedAsLost(t *testing.T) {
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
		t.Fatalf("the resend got %v, %v; events %v, run %d times", resp, err, k.events, m.runs.Load())
	}
}

// overloadedOnceGate refuses the first call of all gates that share all.
type overloadedOnceGate struct {
	FixedLimit
	all   *atomic.Int64
	calls atomic.Int64
}

func (g *overloadedOnceGate) Acquire(ctx context.Context, b Backend, t *config.Target, times limit.AcquireOptions) (Permit, error) {
	g.calls.Add(1)
	if g.all.Add(1) == 1 {
		return nil, &call.Refusal{Reason: call.ReasonOverloaded}
	}
	return g.FixedLimit.Acquire(ctx, b, t, times)
}

// Guards against a second run under the local guard during a platform outage. The guarding node,
// which the key selects, was briefly full, and the call ran at another node and its answer was
// lost. The resend went to the selected node, which had no record of the key.
func TestLocallyGuardedCallStaysAtOneNode(t *testing.T) {
	target := bookings()
	target.OnStoreDown = config.OnStoreDownLocalGuard
	m := newMesh(t, target, func(http.ResponseWriter, *http.Request) {})
	var all atomic.Int64
	gates := [2]*overloadedOnceGate{{all: &all}, {all: &all}}
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
			t.Errorf("%s with one node draining: %v, %v", key, resp, err)
		}
	}
}

// Guards against a keyed call with an endless answer whose caller has left: it ran on for its
// resends, held its slot and blocked planned shutdowns. It must end at its deadline.
func TestEndlessAnswerEndsAtDeadline(t *testing.T) {
	var over atomic.Bool
	m, k := newKeyedMesh(t, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil && !over.Load() {
			io.WriteString(w, "line\n")
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
	})
	t.Cleanup(func() { over.Store(true) })
	var ahead atomic.Int64
	for _, d := range m.dest {
		d.Now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
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
	ahead.Store(int64(2 * maxDeadline))
	select {
	case <-k.ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the call did not end")
	}
	if k.events[0] != "lost" {
		t.Errorf("events %v", k.events)
	}
}

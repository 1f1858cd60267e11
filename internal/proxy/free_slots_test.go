package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/retry"
)

// capturingRetrier gives every call up, and holds the last input.
type capturingRetrier struct {
	retryAfter time.Duration
	in         retry.Input
}

func (*capturingRetrier) Called(string) {}

func (r *capturingRetrier) Decide(_ string, in retry.Input) retry.Decision {
	r.in = in
	return retry.Decision{RetryAfter: r.retryAfter}
}

// Guards against rejections at random that the entry node takes for those of a full backend server,
// because the load report is lost between the nodes.
func TestEntryLearnsOfFreeSlots(t *testing.T) {
	for load, want := range map[string]bool{"3/8": true, "8/8": false, "": false} {
		m := newMesh(t, lookups(), func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(call.HeaderRefused, r.Header.Get(call.HeaderAttempt))
			w.Header().Set(call.HeaderLoad, load)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		captured := &capturingRetrier{}
		m.entry.Retrier = captured
		resp, _, err := m.call("GET", "/", "")
		if err != nil || resp.Header.Get(call.HeaderNotRun) != string(call.ReasonBackend) {
			t.Fatalf("got %v %v", resp, err)
		}
		if captured.in.SlotsFree != want {
			t.Errorf("load %q: slots free %v", load, captured.in.SlotsFree)
		}
	}
}

// Guards against a short time to return that the refusal's own Retry-After or a refusal of another
// kind replaces, and against one that replaces them.
func TestGiveUpKeepsLongerTime(t *testing.T) {
	for _, c := range []struct {
		refusal call.Refusal
		want    time.Duration
	}{
		{call.Refusal{Reason: call.ReasonBackend}, 30 * time.Millisecond},
		{call.Refusal{Reason: call.ReasonBackend, RetryAfter: 2 * time.Second}, 2 * time.Second},
		{call.Refusal{Reason: call.ReasonUnreachable, RetryAfter: time.Second}, time.Second},
	} {
		var told time.Duration
		e := NewEntry(EntryOptions{Dialect: capturingDialect{told: &told}})
		cl := &entryCall{r: httptest.NewRequest("GET", "/", nil), target: lookups(), class: NewMeters().Class(lookups())}
		e.giveUp(httptest.NewRecorder(), cl, &answer{refusal: &c.refusal}, retry.Decision{RetryAfter: 30 * time.Millisecond})
		if told != c.want {
			t.Errorf("%+v: told %v, want %v", c.refusal, told, c.want)
		}
	}
}

// capturingDialect holds the Retry-After of the last refusal.
type capturingDialect struct {
	ownDialect
	told *time.Duration
}

func (d capturingDialect) RefusalStatus(r *call.Refusal) (int, string) {
	*d.told = r.RetryAfter
	return http.StatusServiceUnavailable, ""
}

// inheritedRetrier leaves no room for inherited retries.
type inheritedRetrier struct {
	capturingRetrier
	calls, inherited int
}

func (r *inheritedRetrier) Called(string) { r.calls++ }

func (r *inheritedRetrier) ChargesInherited() bool { return true }

func (r *inheritedRetrier) CalledInherited(time.Time, string) bool {
	r.inherited++
	return false
}

// Guards against calls of retried runs that exceed the bound of the service that they go to, and
// against callers outside the mesh who use up that bound with a header of their own.
func TestInheritedRetriesAreRefusedWithoutRoom(t *testing.T) {
	m := newMesh(t, lookups(), func(http.ResponseWriter, *http.Request) {})
	retrier := &inheritedRetrier{}
	m.entry.Retrier = retrier
	r, _ := http.NewRequest("GET", m.internal.URL, nil)
	r.Header.Set(retry.HeaderRetried, "1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(call.HeaderNotRun) != string(call.ReasonOverloaded) || resp.Header.Get(retry.HeaderFinal) == "" {
		t.Errorf("an inherited retry got %d %v", resp.StatusCode, resp.Header)
	}
	if resp, _, err := m.call("GET", "/", "", retry.HeaderRetried, "1"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a caller's call got %v %v", resp, err)
	}
	if retrier.inherited != 1 || retrier.calls != 1 || m.runs.Load() != 1 {
		t.Errorf("%+v, %d runs", retrier, m.runs.Load())
	}
}

// chargingRetrier retries and has room for inherited retries, if they are charged.
type chargingRetrier struct {
	Retrier
	charges bool
}

func (r chargingRetrier) ChargesInherited() bool { return r.charges }

func (chargingRetrier) CalledInherited(time.Time, string) bool { return true }

// Guards against nested calls that are charged or refused as inherited although no backend server got
// an earlier attempt of the run that made them, or because a caller outside the mesh set the header.
func TestOnlyRetriedRunsAreMarked(t *testing.T) {
	for _, c := range []struct {
		name             string
		charged          bool
		rejects          int64 // attempts that the backend server rejects
		internal, header bool
		want             bool
	}{
		{"not charged, unreachable before", false, 0, false, false, true},
		{"unreachable before", true, 0, false, false, false},
		{"rejected before", true, 1, false, false, true},
		{"header of a caller", true, 0, false, true, false},
		{"inherited", true, 0, true, true, true},
	} {
		marked := false
		var m *mesh
		m = newMesh(t, lookups(), func(w http.ResponseWriter, r *http.Request) {
			if m.runs.Load() <= c.rejects {
				w.Header().Set(call.HeaderRefused, r.Header.Get(call.HeaderAttempt))
				return
			}
			marked = r.Header.Get(retry.HeaderRetried) != ""
		})
		m.entry.Retrier = chargingRetrier{RetryUpTo(3), c.charged}
		if c.rejects == 0 {
			unreachable := Endpoint{ID: "vm8/a", VM: "vm8", Instance: "a", Addr: "127.0.0.1:1"}
			m.picker.Set(map[string][]Endpoint{testService: {m.endpoints[0], unreachable}}) // RoundRobin begins with the second
		}
		url := m.public.URL
		if c.internal {
			url = m.internal.URL
		}
		r, _ := http.NewRequest("GET", url, nil)
		if c.header {
			r.Header.Set(retry.HeaderRetried, "1")
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || marked != c.want {
			t.Errorf("%s: status %d, marked %v", c.name, resp.StatusCode, marked)
		}
	}
}

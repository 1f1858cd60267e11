package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
)

const (
	harbourKey       = "harbour-key"
	harbourWorkspace = "harbour"
)

// keyedProgram is a program with one class and one workspace.
type keyedProgram struct {
	singleClass
	keys *config.Keyring
}

func (k keyedProgram) Program() *Program {
	return &Program{Matcher: k.singleClass, Targets: k.singleClass, Keys: k.keys}
}

func keyring(t *testing.T) *config.Keyring {
	t.Helper()
	s, err := config.New(1, config.Hash{}, []config.Object{config.EncodeWorkspace(config.Workspace{
		Name: harbourWorkspace, Team: "yard", Priority: 8, Keys: []config.KeyDigest{config.DigestOf(harbourKey)},
	})})
	if err != nil {
		t.Fatal(err)
	}
	return s.Keyring()
}

// Guards the priority of workspaces: the gate at the destination, on another VM, must receive the
// workspace of the call.
func TestGateReceivesWorkspace(t *testing.T) {
	m := newMesh(t, bookings(), func(http.ResponseWriter, *http.Request) {})
	m.useOnly(0)
	seen := make(recordingGate, 2)
	m.dest[0].Gates = seen
	m.dest[0].Programs = keyedProgram{singleClass{bookings()}, keyring(t)}
	m.entry.Programs = m.dest[0].Programs
	m.entry.Retrier = RetryUpTo(1)
	if _, _, err := m.call("POST", "/launch", "x", headerAuthorization, "Bearer "+harbourKey); err != nil {
		t.Fatal(err)
	}
	want := limit.Caller{Workspace: harbourWorkspace, Priority: 8}
	if got := (<-seen).Caller; got != want {
		t.Errorf("the gate received %+v, want %+v", got, want)
	}
}

// fakeQuotas implements Workspaces with configurable refusals.
type fakeQuotas struct {
	confirmed, admit *call.Refusal
	counted          int
}

func (q *fakeQuotas) CheckKeys(time.Time) *call.Refusal { return q.confirmed }

func (q *fakeQuotas) Admit(context.Context, time.Time, QuotaCall) *call.Refusal {
	if q.admit == nil {
		q.counted++
	}
	return q.admit
}

func (q *fakeQuotas) Refund(time.Time, *config.Workspace) { q.counted-- }

// Guards against an API key that reaches a backend server, and against a caller that sets the
// workspace header itself.
func TestKeys(t *testing.T) {
	keyless := bookings()
	keyless.Keyless = true
	for _, tt := range []struct {
		name      string
		target    *config.Target
		given     string
		status    int
		workspace string
		passedOn  string
	}{
		{"known", bookings(), "Bearer " + harbourKey, http.StatusOK, harbourWorkspace, ""},
		{"scheme in lower case", bookings(), "bearer " + harbourKey, http.StatusOK, harbourWorkspace, ""},
		{"unknown", bookings(), "Bearer other", http.StatusUnauthorized, "", ""},
		{"empty", bookings(), "Bearer ", http.StatusUnauthorized, "", ""},
		{"none", bookings(), "", http.StatusUnauthorized, "", ""},
		{"another scheme", bookings(), "Basic " + harbourKey, http.StatusUnauthorized, "", ""},
		{"keyless class, none", keyless, "", http.StatusOK, "", ""},
		{"keyless class, known", keyless, "Bearer " + harbourKey, http.StatusOK, harbourWorkspace, ""},
		{"keyless class, unknown", keyless, "Bearer other", http.StatusOK, "", ""},
		{"keyless class, another scheme", keyless, "Basic own", http.StatusOK, "", "Basic own"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got http.Header
			m := newMesh(t, tt.target, func(_ http.ResponseWriter, r *http.Request) { got = r.Header })
			m.entry.Programs = keyedProgram{singleClass{tt.target}, keyring(t)}
			resp, _, err := m.call("POST", "/launch", "x", headerAuthorization, tt.given, headerWorkspace, "forged")
			if err != nil || resp.StatusCode != tt.status {
				t.Fatalf("%v %v", resp, err)
			}
			if got.Get(headerWorkspace) != tt.workspace || got.Get(headerAuthorization) != tt.passedOn {
				t.Errorf("the backend server got %v", got)
			}
			if ran := m.runs.Load() == 1; ran != (tt.status == http.StatusOK) {
				t.Errorf("run: %v", ran)
			}
		})
	}
}

// Guards against credentials that are removed although the configuration has no workspaces.
func TestCredentialsWithoutWorkspaces(t *testing.T) {
	var got http.Header
	m := newMesh(t, bookings(), func(_ http.ResponseWriter, r *http.Request) { got = r.Header })
	if _, _, err := m.call("POST", "/launch", "x", headerAuthorization, "Bearer own"); err != nil {
		t.Fatal(err)
	}
	if got.Get(headerAuthorization) != "Bearer own" {
		t.Errorf("the backend server got %v", got)
	}
}

func TestWorkspaceRefusals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		quotas *fakeQuotas
		status int
		reason call.Reason
	}{
		{"not confirmed", &fakeQuotas{confirmed: &call.Refusal{Reason: call.ReasonUnconfirmed, RetryAfter: time.Second}}, http.StatusServiceUnavailable, call.ReasonUnconfirmed},
		{"over the quota", &fakeQuotas{admit: &call.Refusal{Reason: call.ReasonOverQuota, RetryAfter: time.Second}}, http.StatusTooManyRequests, call.ReasonOverQuota},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m := newMesh(t, bookings(), func(http.ResponseWriter, *http.Request) {})
			m.entry.Programs = keyedProgram{singleClass{bookings()}, keyring(t)}
			m.entry.Workspaces = tt.quotas
			resp, _, err := m.call("POST", "/launch", "x", headerAuthorization, "Bearer "+harbourKey)
			if err != nil || resp.StatusCode != tt.status || resp.Header.Get(call.HeaderNotRun) != string(tt.reason) {
				t.Fatalf("%v %v", resp, err)
			}
			if resp.Header.Get("Retry-After") != "1" || m.runs.Load() != 0 {
				t.Errorf("%v, run %d times", resp.Header, m.runs.Load())
			}
		})
	}
}

// Guards against calls that were not run and still count against the quota.
func TestRefusedCallIsRefunded(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	m.entry.Programs = keyedProgram{singleClass{bookings()}, keyring(t)}
	q := new(fakeQuotas)
	m.entry.Workspaces = q
	key := []string{headerAuthorization, "Bearer " + harbourKey}
	if resp, _, err := m.call("POST", "/launch", "x", key...); err != nil || resp.StatusCode != http.StatusOK || q.counted != 1 {
		t.Fatalf("%v %v, counted %d", resp, err, q.counted)
	}
	m.picker.Set(nil)
	if resp, _, err := m.call("POST", "/launch", "x", key...); err != nil || resp.StatusCode != http.StatusServiceUnavailable || q.counted != 1 {
		t.Fatalf("%v %v, counted %d", resp, err, q.counted)
	}
}

package proxy

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/call"
)

// fault is the behavior of a backend server in one attempt.
type fault string

const (
	faultNone        fault = "answers"
	faultRefuse      fault = "refuses with its nonce"
	faultForgedNonce fault = "runs the call and refuses with a forged nonce"
	faultCrash       fault = "runs the call and crashes"
	faultTruncate    fault = "runs the call and crashes in its answer"
	faultSilent      fault = "runs the call and does not answer"
	faultReset       fault = "crashes before it reads"
)

var faults = []fault{faultNone, faultRefuse, faultForgedNonce, faultCrash, faultTruncate, faultSilent, faultReset}

// script yields one fault for each attempt, and counts runs.
type script struct {
	mu     sync.Mutex
	faults []fault
	runs   int
}

func (s *script) nextFault(ran func(fault) bool) fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := faultNone
	if len(s.faults) > 0 {
		f, s.faults = s.faults[0], s.faults[1:]
	}
	if ran(f) {
		s.runs++
	}
	return f
}

func runs(f fault) bool { return f != faultRefuse && f != faultReset }

func (s *script) serve(w http.ResponseWriter, r *http.Request) {
	switch s.nextFault(runs) {
	case faultRefuse:
		w.Header().Set(call.HeaderRefused, r.Header.Get(call.HeaderAttempt))
		w.WriteHeader(http.StatusServiceUnavailable)
	case faultForgedNonce:
		w.Header().Set(call.HeaderRefused, "0"+r.Header.Get(call.HeaderAttempt))
		w.Header().Set(call.HeaderNotRun, string(call.ReasonOverloaded))
		w.WriteHeader(http.StatusServiceUnavailable)
	case faultCrash, faultReset:
		panic(http.ErrAbortHandler)
	case faultTruncate:
		w.Header().Set("Content-Length", "100")
		io.WriteString(w, "whole")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case faultSilent:
		<-r.Context().Done()
	default:
		io.WriteString(w, "whole")
	}
}

// Under any faults of the backend servers and any draining destinations: a call reported as "not
// run" did not run, a call that is not idempotent ran at most once, and an answer that ends
// normally is complete.
func TestCallGuaranteesUnderFaults(t *testing.T) {
	// Each call names its script, so that a late attempt cannot use another one.
	var scripts sync.Map
	play := func(w http.ResponseWriter, r *http.Request) {
		s, _ := scripts.Load(r.Header.Get("X-Script"))
		s.(*script).serve(w, r)
	}
	calls := 0
	meshes := map[bool]*mesh{true: newMesh(t, lookups(), play), false: newMesh(t, bookings(), play)}
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		method := rapid.SampledFrom([]string{"GET", "POST", "DELETE"}).Draw(t, "method")
		keyed := rapid.Bool().Draw(t, "keyed")
		drains := rapid.SliceOfN(rapid.Bool(), 2, 2).Draw(t, "drains")
		s := &script{faults: rapid.SliceOfN(rapid.SampledFrom(faults), 0, 4).Draw(t, "faults")}
		silent := slices.Contains(s.faults, faultSilent)
		calls++
		id := strconv.Itoa(calls)
		scripts.Store(id, s)
		m := meshes[idempotent]
		for i, d := range m.dest {
			d.draining.Store(drains[i])
		}
		header := []string{"X-Script", id}
		if silent {
			header = append(header, call.HeaderDeadline, strconv.Itoa(20))
		}
		if keyed {
			header = append(header, call.HeaderKey, "k")
		}
		resp, body, err := m.call(method, "/x", "", header...)
		s.mu.Lock()
		defer s.mu.Unlock()
		if !idempotent && s.runs > 1 {
			t.Fatalf("run %d times", s.runs)
		}
		if err != nil {
			return // the answer was visibly truncated
		}
		if why := resp.Header.Get(call.HeaderNotRun); why != "" && s.runs > 0 {
			t.Fatalf("reported as not run (%s), but run %d times", why, s.runs)
		}
		if resp.StatusCode == http.StatusOK && body != "whole" {
			t.Fatalf("got %q", body)
		}
	})
}

package proxy

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
	"github.com/marlpass/marlpass/internal/config"
)

// slowedMesh returns a mesh whose backend server states the given slowdown, and a function that makes
// a call and returns how many offers each of the two destination nodes has declined so far.
func slowedMesh(t *testing.T, stated string) (*mesh, func() [2]uint64) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		if r.Header["Marlpass-Retried"] != nil {
			t.Error("a call that was declined counts as a retry")
		}
		if stated != "" {
			w.Header().Set(call.HeaderSlowdown, stated)
		}
		io.WriteString(w, "ok")
	})
	m.entry.Pickers = searchingPickers{m.picker}
	m.entry.Retrier = RetryUpTo(1)
	return m, func() (declined [2]uint64) {
		t.Helper()
		resp, body, err := m.call("POST", "/book", "slip 3")
		if err != nil || body != "ok" || resp.Header[headerRun] != nil || resp.Header[call.HeaderSlowdown] != nil {
			t.Fatalf("got %+v %q, %v", resp, body, err)
		}
		for i, d := range m.dest {
			d.EachSlowdown(time.Now(), func(s completion.Status) { declined[i] = s.Declined })
		}
		return declined
	}
}

// Guards against a mesh without figures that is treated differently: nothing is kept, so nothing is
// declined or reported.
func TestNoRunTimesWithoutFigures(t *testing.T) {
	m, book := slowedMesh(t, "")
	book()
	for _, d := range m.dest {
		d.EachSlowdown(time.Now(), func(s completion.Status) { t.Errorf("%+v is kept", s) })
	}
}

// Guards against a call that runs at a backend server that is slowed down while another is not. It
// must go to the other one at once, without counting as a retry.
func TestSlowedBackendServerDeclinesOffers(t *testing.T) {
	m, book := slowedMesh(t, "100")
	book()
	book()
	var declined [2]uint64
	for range 6 { // in turn: at least three calls are offered to the slow endpoint first
		m.dest[0].completion.Observe(time.Now(), "a", 0, 2.5)
		declined = book()
	}
	if declined[0] < 3 || declined[1] != 0 || m.runs.Load() != 8 {
		t.Errorf("%v offers declined, %d calls run", declined, m.runs.Load())
	}
	// Without a free slot the refusal is left to the gate, so that the entry node learns of that.
	m.dest[0].SlotUse = func(Backend) SlotUse { return SlotUse{Busy: 8, Limit: 8} }
	for range 2 {
		m.dest[0].completion.Observe(time.Now(), "a", 0, 2.5)
		if full := book(); full != declined {
			t.Errorf("%v offers declined, the last at an endpoint without a free slot", full)
		}
	}
}

// Guards against calls that are not served, or declined again and again, while all backend servers are
// slowed down, and against calls that are declined while hardly any slot is free.
func TestCallsRunWhereAllAreSlow(t *testing.T) {
	m, book := slowedMesh(t, "250")
	for range 30 {
		book()
	}
	before := book()
	after := book()
	if n := after[0] + after[1] - before[0] - before[1]; n != 1 {
		t.Errorf("a call was declined %d times", n)
	}
	for free := m.entry.freeSlots.of(testService); free.load() >= minDeclineShare; {
		free.add(false)
	}
	if full := book(); full != after {
		t.Errorf("%v offers declined, the last while few slots are free", full)
	}
}

// Guards against a backend server that fails calls at once and so looks fast, and whose slowdown is not
// heard of meanwhile.
func TestFailedCallsAreNoRunTimes(t *testing.T) {
	d := NewDestination(DestinationOptions{})
	h := &execution{backend: Backend{Instance: "a"}, target: &config.Target{Name: "c"}, start: d.Now().Add(-time.Second)}
	d.recordRun(h, http.StatusInternalServerError, Load{Slowdown: 2}, 1)
	if d.expectedRun(h.backend, h.target).Known() || d.completion.Find("a", 0) == nil {
		t.Error("the run time of a failed call counts, or its slowdown does not")
	}
	d.recordRun(h, http.StatusOK, Load{Slowdown: 2}, 2)
	if !d.expectedRun(h.backend, h.target).Known() {
		t.Error("the run time of an answered call does not count")
	}
}

// Guards against a call that no longer searches and is offered without end to an endpoint that declines
// it all the same.
func TestSlowIsARefusalOutsideTheSearch(t *testing.T) {
	a := answer{refusal: refuse(call.ReasonSlow, 0, "")}
	for scope, want := range map[SearchScope]bool{NoSearch: false, SearchDataCentre: true, SearchRegion: true} {
		if s := (slotSearch{scope: scope}); s.foundNoSlot(&a) != want {
			t.Errorf("scope %v: %v", scope, !want)
		}
	}
}

// Guards against calls of entry nodes of an earlier version that are declined, which those take for
// failed calls; against figures that are misread; and against run times that are lost on the way.
func TestRunTimeHeaders(t *testing.T) {
	for value, want := range map[string][2]bool{"": {}, "1": {true, false}, "2": {true, true}, "3": {true, false}} {
		if noWait, mayDecline := parseNoWait(http.Header{headerNoWait: {value}}); [2]bool{noWait, mayDecline} != want {
			t.Errorf("%q: %v %v", value, noWait, mayDecline)
		}
	}
	for value, want := range map[string]float64{"250": 2.5, "": 0, "x": 0, "-5": 0} {
		if l := parseBackendLoad(http.Header{call.HeaderLoad: {"2/6"}, call.HeaderSlowdown: {value}}); l.Slowdown != want || !l.Known {
			t.Errorf("%q: %+v", value, l)
		}
	}
	run, h := completion.Run{Usual: 117300 * time.Microsecond, Slowdown: 2.5}, http.Header{}
	setExpectedRun(h, run)
	h.Set(call.HeaderNotRun, string(call.ReasonSlow))
	a := readNodeResponse(answer{resp: &http.Response{Header: h, Body: http.NoBody}})
	if got := report(&a, 0); got.Run != run || got.Refused != call.ReasonSlow {
		t.Errorf("the picker gets %+v", got)
	}
}

package proxy

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
	"github.com/marlpass/marlpass/internal/config"
)

// reportingPickers records the reports to searchingPickers.
type reportingPickers struct {
	searchingPickers
	mu      sync.Mutex
	reports []Report
}

type reportingChoice struct {
	Choice
	p *reportingPickers
}

func (p *reportingPickers) Pick(now time.Time, t *config.Target, a PickInfo) (Choice, error) {
	c, err := p.searchingPickers.Pick(now, t, a)
	return reportingChoice{c, p}, err
}

func (c reportingChoice) Done(now time.Time, r Report) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	c.p.reports = append(c.p.reports, r)
	c.Choice.Done(now, r)
}

// take returns the reports so far and the number of them that tell a run time.
func (p *reportingPickers) take() (reports []Report, withRun int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reports, p.reports = p.reports, nil
	for _, r := range reports {
		if r.Run.Known() && r.Run.Class == "bookings" {
			withRun++
		}
	}
	return reports, withRun
}

// slowedMesh returns a mesh whose backend server states the given slowdown, and a function that makes
// a call and returns its reports.
func slowedMesh(t *testing.T, stated string) (*mesh, func() ([]Report, int)) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		if r.Header["Marlpass-Retried"] != nil {
			t.Error("a call that was declined counts as a retry")
		}
		if stated != "" {
			w.Header().Set(call.HeaderSlowdown, stated)
		}
		time.Sleep(time.Millisecond)
		io.WriteString(w, "ok")
	})
	p := &reportingPickers{searchingPickers: searchingPickers{m.picker}}
	m.entry.Pickers = p
	m.entry.Retrier = RetryUpTo(1)
	return m, func() ([]Report, int) {
		t.Helper()
		resp, body, err := m.call("POST", "/book", "slip 3")
		if err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
			t.Fatalf("got %v %q, %v", resp, body, err)
		}
		for name := range resp.Header {
			if name == headerRun || name == call.HeaderSlowdown {
				t.Errorf("the caller got %s", name)
			}
		}
		for { // an answer is reported after the caller has got it
			if reports, withRun := p.take(); len(reports) > 0 && reports[len(reports)-1].Outcome == call.Ran {
				return reports, withRun
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against a mesh without figures that is treated differently: no call is declined, and nothing
// is kept or reported.
func TestNoRunTimesWithoutFigures(t *testing.T) {
	m, book := slowedMesh(t, "")
	for range 6 {
		if reports, withRun := book(); len(reports) != 1 || withRun != 0 {
			t.Errorf("reports %+v", reports)
		}
	}
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
	declined := 0
	for range 6 {
		m.dest[0].completion.Observe(time.Now(), "a", 0, 2.5)
		reports, withRun := book()
		if withRun != len(reports) {
			t.Errorf("of %d results %d tell the run time", len(reports), withRun)
		}
		if reports[0].Refused == call.ReasonSlow {
			declined++
			if len(reports) != 2 || reports[0].Run.Slowdown < 2 || reports[1].Run.Slowdown > 1.1 {
				t.Errorf("reports %+v", reports)
			}
		}
	}
	if declined == 0 {
		t.Error("no offer was declined")
	}
}

// Guards against calls that are not served, or that are offered in vain, while all backend servers are
// slowed down.
func TestCallsRunWhereAllAreSlow(t *testing.T) {
	_, book := slowedMesh(t, "250")
	for range 30 {
		book()
	}
	for range 6 {
		if reports, _ := book(); len(reports) > 2 {
			t.Errorf("a call was declined more than once: %+v", reports)
		}
	}
}

// Guards against calls of entry nodes of an earlier version that are declined, which those take for
// failed calls, and against figures that are misread.
func TestDeclineAndSlowdownHeaders(t *testing.T) {
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
}

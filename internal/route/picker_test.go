package route

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

var (
	well   = Report{Outcome: call.Ran, Latency: time.Millisecond}
	failed = Report{Outcome: call.Ran, Failed: true}
)

func refused(r call.Reason) Report { return Report{Outcome: call.NotRun, Refused: r} }

// endpoints returns n ready endpoints of data centre a.
func endpoints(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{ID: fmt.Sprint("e", i), DataCentre: "a", Region: "r", Slots: 6, Ready: true})
	}
	return out
}

func picker(o Options, eps []Endpoint) *Picker {
	o.Self, o.DataCentre, o.Region = "self", "a", "r"
	if o.Seed == 0 {
		o.Seed = 1
	}
	p := New(o)
	p.Update(simStart, eps)
	return p
}

// picks counts where n calls in a row go, each answered at once.
func picks(t *testing.T, p *Picker, now time.Time, n int, report func(id string) Report) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range n {
		c, err := p.Pick(now, nil)
		if err != nil {
			t.Fatal(err)
		}
		id := c.Endpoint().ID
		got[id]++
		c.Done(now, report(id))
	}
	return got
}

func allWell(string) Report { return well }

func TestPickNone(t *testing.T) {
	closed := endpoints(2)
	closed[0].Draining = true
	closed[1].Ready = false
	for name, eps := range map[string][]Endpoint{"no endpoints": nil, "none open": closed} {
		_, err := picker(Options{}, eps).Pick(simStart, nil)
		var r *call.Refusal
		if !errors.As(err, &r) || r.Reason != call.ReasonNoEndpoint || r.RetryAfter == 0 {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestPickAvoidsTried(t *testing.T) {
	p := picker(Options{}, endpoints(2))
	for range 20 {
		c, err := p.Pick(simStart, []string{"e0"})
		if err != nil || c.Endpoint().ID != "e1" {
			t.Fatalf("got %v, %v", c.Endpoint(), err)
		}
	}
	if _, err := p.Pick(simStart, []string{"e0", "e1"}); err != nil {
		t.Errorf("with all tried: %v", err)
	}
}

// A caller gets an error for a call that other endpoints would have run. A
// backend server announces that it drains; the endpoint hears it before the
// entry nodes do and refuses. They must not send it more.
func TestPickLeavesOutWhatRefusesAsDraining(t *testing.T) {
	p := picker(Options{}, endpoints(3))
	report := func(id string) Report {
		if id == "e0" {
			return refused(call.ReasonDraining)
		}
		return well
	}
	if got := picks(t, p, simStart, 100, report); got["e0"] != 1 {
		t.Errorf("the draining endpoint got %d calls, not one", got["e0"])
	}
	eps := endpoints(3)
	eps[1].Draining = true
	p.Update(simStart, eps)
	if got := picks(t, p, simStart, 100, allWell); got["e0"]+got["e1"] != 0 {
		t.Errorf("draining endpoints got calls: %v", got)
	}
}

func TestRefusalsOfTheCallDontCount(t *testing.T) {
	p := picker(Options{}, endpoints(2))
	picks(t, p, simStart, 100, func(string) Report { return refused(call.ReasonQuarantined) })
	for _, s := range p.Endpoints(simStart) {
		if s.Ejected || s.FailureRate != 0 || s.Outstanding != 0 {
			t.Errorf("%+v", s)
		}
	}
}

// Users see errors long after a backend server broke, or none at all after it
// was mended. Its calls fail; it must be left out, get single calls as trials,
// and come back once these are well.
func TestEjectAndReturn(t *testing.T) {
	p := picker(Options{}, endpoints(4))
	bad := "e2"
	report := func(id string) Report {
		if id == bad {
			return failed
		}
		return well
	}
	now := simStart
	for range minResults {
		c, _ := p.Pick(now, []string{"e0", "e1", "e3"})
		c.Done(now, report(c.Endpoint().ID))
	}
	if got := picks(t, p, now, 200, report); got[bad] != 0 {
		t.Fatalf("ejected, and got %d calls", got[bad])
	}
	now = now.Add(DefaultBaseEjectionTime)
	c, err := p.PickIdempotent(now, nil)
	if err != nil || !c.Trial() || c.Endpoint().ID != bad {
		t.Fatalf("no trial after the ejection: %v %v", c.Endpoint(), err)
	}
	if other, _ := p.PickIdempotent(now, nil); other.Trial() {
		t.Error("two trials at once")
	}
	c.Done(now, failed)
	if got := picks(t, p, now.Add(time.Second), 200, report); got[bad] != 0 {
		t.Errorf("got %d calls right after a failed trial", got[bad])
	}
	now = now.Add(time.Minute)
	for range trialsToReturn {
		now = now.Add(trialGap)
		c, _ := p.PickIdempotent(now, nil)
		if !c.Trial() {
			t.Fatal("no trial")
		}
		c.Done(now, well)
	}
	st := p.Endpoints(now)[2]
	if st.Ejected || !st.SlowStarting {
		t.Errorf("after good trials: %+v", st)
	}
	if got := picks(t, p, now.Add(DefaultSlowStart), 400, allWell); got[bad] == 0 {
		t.Error("it never came back")
	}
}

// Every call is refused although some would have been run. All endpoints look
// dead because a store they share is down; the cap keeps half of them in.
func TestEjectionIsCapped(t *testing.T) {
	p := picker(Options{}, endpoints(8))
	picks(t, p, simStart, 1000, func(string) Report { return failed })
	ejected := 0
	for _, s := range p.Endpoints(simStart) {
		if s.Ejected {
			ejected++
		}
	}
	if ejected != 4 {
		t.Errorf("%d of 8 ejected", ejected)
	}
}

// A trial call may be one that must not be sent twice. Calls that can be
// repeated go first; others only when none came for a long time.
func TestTrialsPreferRepeatableCalls(t *testing.T) {
	p := picker(Options{}, endpoints(2))
	for range minResults {
		c, _ := p.Pick(simStart, []string{"e0"})
		c.Done(simStart, failed)
	}
	now := simStart.Add(DefaultBaseEjectionTime)
	if c, _ := p.Pick(now, nil); c.Trial() {
		t.Error("a call that may not be repeated was the trial")
	}
	now = simStart.Add(overdueFactor * DefaultBaseEjectionTime)
	if c, _ := p.Pick(now, nil); !c.Trial() {
		t.Error("an overdue trial was not made")
	}
}

func TestSlowStart(t *testing.T) {
	eps := endpoints(4)
	p := picker(Options{}, eps)
	now := simStart.Add(time.Minute)
	eps[3].ReadySince = now.Add(time.Hour) // a clock far ahead
	p.Update(now, eps)
	cold := picks(t, p, now, 400, allWell)["e3"]
	warm := picks(t, p, now.Add(DefaultSlowStart), 400, allWell)["e3"]
	if cold == 0 || cold*3 >= warm {
		t.Errorf("%d of 400 calls when cold, %d when warm", cold, warm)
	}
}

func TestSuspectRanksLower(t *testing.T) {
	eps := endpoints(4)
	eps[0].Suspect = true
	if got := picks(t, picker(Options{}, eps), simStart, 400, allWell); got["e0"] >= 50 {
		t.Errorf("the suspect got %d of 400 calls", got["e0"])
	}
	for i := range eps {
		eps[i].Suspect = true
	}
	picks(t, picker(Options{}, eps), simStart, 4, allWell)
}

// All nodes of a data centre hold connections to all endpoints, and each
// endpoint has ten times those it can hold. The subset bounds them, changes
// little with the endpoints, and gives every node some choice.
func TestSubset(t *testing.T) {
	const nodes, n = 240, 20
	degree := map[string]int{}
	moved := 0
	for i := range nodes {
		p := New(Options{Self: fmt.Sprint("n", i), DataCentre: "a", Region: "r", Seed: 1})
		p.SetEntryNodes(nodes)
		p.Update(simStart, endpoints(n))
		before := p.table.Load().near[tierOwn]
		if want := DefaultConnections * n / nodes; len(before) != want {
			t.Fatalf("subset of %d, not %d", len(before), want)
		}
		was := map[string]bool{}
		for _, s := range before {
			degree[s.ep.Load().ID]++
			was[s.ep.Load().ID] = true
		}
		p.Update(simStart, endpoints(n-1))
		for _, s := range p.table.Load().near[tierOwn] {
			if !was[s.ep.Load().ID] {
				moved++
			}
		}
	}
	lowest, highest := nodes, 0
	for _, d := range degree {
		lowest, highest = min(lowest, d), max(highest, d)
	}
	t.Logf("entry nodes an endpoint: %d to %d; %d of %d subset places moved with one endpoint", lowest, highest, moved, nodes*10)
	if highest > DefaultConnections*5/4 {
		t.Errorf("an endpoint is in %d subsets", highest)
	}
	if moved > degree["e19"] {
		t.Errorf("%d places moved when %d nodes lost an endpoint", moved, degree["e19"])
	}
}

// A service with one endpoint that is full: each call was sent to it three times,
// since nobody noticed that there was no other to try.
func TestTriedAllThatTakeCalls(t *testing.T) {
	eps := endpoints(3)
	eps[2].Draining = true
	p := picker(Options{}, eps)
	for _, tt := range []struct {
		tried []string
		want  bool
	}{
		{nil, false},
		{[]string{"e0"}, false},
		{[]string{"e0", "e2"}, false},
		{[]string{"e1", "e0"}, true},
	} {
		if got := p.TriedAll(simStart, tt.tried); got != tt.want {
			t.Errorf("tried %v: %v", tt.tried, got)
		}
	}
}

package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Records are spread over four data centres with one backend server each. Three in four survey
// pictures of 90 KB crossed data centres, which cost most of what the answers earned. Small answers
// may go to the least busy endpoint, since distance costs them nothing.
func TestLargeAnswersStayLocal(t *testing.T) {
	now := time.Unix(1000, 0)
	p := New(Options{Self: "vm-0", DataCentre: "dc-0", Region: "r", RegionWide: true, Seed: 7})
	var eps []Endpoint
	for i := range 4 {
		eps = append(eps, Endpoint{
			ID: fmt.Sprintf("vm-%d/a", i), VM: fmt.Sprintf("vm-%d", i),
			DataCentre: fmt.Sprintf("dc-%d", i), Region: "r", Slots: 6, Ready: true,
		})
	}
	p.Update(now, eps)
	countLocal := func(remoteCost float64, inFlight int) int {
		n := 0
		var choices []Choice
		for range inFlight {
			c, err := p.PickFor(now, PickInfo{RemoteCost: 10})
			if err != nil {
				t.Fatal(err)
			}
			choices = append(choices, c)
		}
		for range 100 {
			c, err := p.PickFor(now, PickInfo{RemoteCost: remoteCost})
			if err != nil {
				t.Fatal(err)
			}
			if c.Endpoint().VM == "vm-0" {
				n++
			}
			c.Done(now, Report{})
		}
		for _, c := range choices {
			c.Done(now, Report{})
		}
		return n
	}
	if n := countLocal(2, 3); n != 100 {
		t.Errorf("with half of the local slots taken, %d of 100 large answers are local", n)
	}
	if n := countLocal(2, 30); n != 0 {
		t.Errorf("with five times the local slots taken, %d of 100 large answers wait locally", n)
	}
	if n := countLocal(0, 3); n != 0 {
		t.Errorf("with half of the local slots taken, %d of 100 small answers wait locally", n)
	}
}

// Each call whose caller left before the answer counted as failed, and healthy endpoints were
// ejected while the others got their calls too.
func TestCancelledCallsDoNotEject(t *testing.T) {
	p := picker(Options{}, endpoints(4))
	left := Report{Outcome: call.Unknown, Cancelled: true}
	pickMany(t, p, simStart, 200, func(string) Report { return left })
	for _, e := range p.Endpoints(simStart) {
		if e.Ejected || e.FailureRate > 0 {
			t.Errorf("%s: ejected %v, failure rate %v", e.Endpoint.ID, e.Ejected, e.FailureRate)
		}
	}
	lost := Report{Outcome: call.Unknown, Failed: true}
	pickMany(t, p, simStart, 200, func(string) Report { return lost })
	ejected := 0
	for _, e := range p.Endpoints(simStart) {
		if e.Ejected {
			ejected++
		}
	}
	if ejected == 0 {
		t.Error("no endpoint was ejected although all calls were lost")
	}
}

// Guards against a round robin that advances twice for each pick: of four endpoints in a data centre,
// two got all calls.
func TestPicksUseAllEndpointsInTurn(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, local := range []int{4, 5} {
		p := New(Options{Self: "vm-0", DataCentre: "dc-0", Region: "r", RegionWide: true, Seed: 7})
		var eps []Endpoint
		for i := range local + 4 {
			dc := "dc-0"
			if i >= local {
				dc = "dc-1"
			}
			eps = append(eps, Endpoint{
				ID: fmt.Sprintf("vm-%d/a", i+1), VM: fmt.Sprintf("vm-%d", i+1), DataCentre: dc, Region: "r", Slots: 6, Ready: true,
			})
		}
		p.Update(now, eps)
		calls := make(map[string]int)
		for range 1000 * local {
			c, err := p.PickFor(now, PickInfo{RemoteCost: 0.4})
			if err != nil {
				t.Fatal(err)
			}
			calls[c.Endpoint().ID]++
			c.Done(now, Report{})
		}
		for _, e := range eps[:local] {
			if n := calls[e.ID]; n != 1000 {
				t.Errorf("%d of %d calls at %s of %d endpoints, want 1000", n, 1000*local, e.ID, local)
			}
		}
	}
}

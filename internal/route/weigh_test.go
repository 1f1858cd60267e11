package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Records are spread over four data centres, one backend server each. Survey
// pictures of 90 KB crossed between them three times in four, and what that costs
// came to most of what the answers earned. Small answers go to whichever is least
// busy, since their way costs nothing.
func TestLargeAnswersStayNear(t *testing.T) {
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
	near := func(far float64, held int) int {
		n := 0
		var held0 []Choice
		for range held {
			c, err := p.PickFor(now, PickInfo{RemoteCost: 10})
			if err != nil {
				t.Fatal(err)
			}
			held0 = append(held0, c)
		}
		for range 100 {
			c, err := p.PickFor(now, PickInfo{RemoteCost: far})
			if err != nil {
				t.Fatal(err)
			}
			if c.Endpoint().VM == "vm-0" {
				n++
			}
			c.Done(now, Report{})
		}
		for _, c := range held0 {
			c.Done(now, Report{})
		}
		return n
	}
	if n := near(2, 3); n != 100 {
		t.Errorf("with half of the near slots taken, %d of 100 large answers come from there", n)
	}
	if n := near(2, 30); n != 0 {
		t.Errorf("with five times the near slots taken, %d of 100 large answers wait there", n)
	}
	if n := near(0, 3); n != 0 {
		t.Errorf("with half of the near slots taken, %d of 100 small answers wait there", n)
	}
}

// Owners lose patience and leave before their answers. Each such call counted as one
// that failed, and healthy endpoints were ejected while the others got their calls
// as well.
func TestCallersWhoLeaveEjectNobody(t *testing.T) {
	p := picker(Options{}, endpoints(4))
	left := Report{Outcome: call.Unknown, Cancelled: true}
	picks(t, p, simStart, 200, func(string) Report { return left })
	for _, e := range p.Endpoints(simStart) {
		if e.Ejected || e.FailureRate > 0 {
			t.Errorf("%s: ejected %v, failing %v", e.Endpoint.ID, e.Ejected, e.FailureRate)
		}
	}
	lost := Report{Outcome: call.Unknown, Failed: true}
	picks(t, p, simStart, 200, func(string) Report { return lost })
	ejected := 0
	for _, e := range p.Endpoints(simStart) {
		if e.Ejected {
			ejected++
		}
	}
	if ejected == 0 {
		t.Error("endpoints whose calls are lost stay")
	}
}

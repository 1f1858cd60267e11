package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// twoCentres is a picker of vm-0, which holds an endpoint as the other VMs do: 0 to 3 are
// in its own data centre, 4 to 7 in another.
func twoCentres(now time.Time) *Picker {
	p := New(Options{Self: "vm-0", DataCentre: "dc-0", Region: "r", RegionWide: true, Seed: 3})
	var eps []Endpoint
	for i := range 8 {
		eps = append(eps, Endpoint{
			ID: fmt.Sprintf("vm-%d/a", i), VM: fmt.Sprintf("vm-%d", i),
			DataCentre: fmt.Sprintf("dc-%d", i/4), Region: "r", Slots: 4, Ready: true,
		})
	}
	p.Update(now, eps)
	return p
}

// answered tells p that the endpoint answered with the given load.
func answered(p *Picker, now time.Time, id string, busy int, failed bool) {
	s := p.states[id]
	c := p.choose(s, false)
	c.Done(now, Report{Outcome: call.Ran, Failed: failed, Latency: 100 * time.Millisecond, Load: Load{Busy: busy, Slots: 4, Present: true}})
}

// A node sends a call a minute to each endpoint, and the one that just answered it has a
// free slot that nobody else knows of. Its next call went anywhere but there, and waited.
func TestNextCallTakesTheSlotThatIsKnownFree(t *testing.T) {
	now := time.Unix(1000, 0)
	look := func(p *Picker, now time.Time, near bool, tried ...string) string {
		c, err := p.PickFreeSlot(now, near, tried)
		if err != nil {
			return ""
		}
		c.Done(now, Report{Outcome: call.NotRun, Refused: call.ReasonBusy})
		return c.Endpoint().ID
	}
	own := "vm-0/a"
	for range 20 {
		p := twoCentres(now)
		if got := look(p, now, true); got != own {
			t.Fatalf("looks at %s before the own VM", got)
		}
		answered(p, now, "vm-6/a", 1, false)
		answered(p, now, "vm-2/a", 3, false)
		answered(p, now, "vm-3/a", 4, false) // full
		answered(p, now, "vm-1/a", 0, true)  // idle because it fails
		if got := look(p, now, true, own); got != "vm-2/a" {
			t.Fatalf("looks at %s, where vm-2 told of a free slot", got)
		}
		if got := look(p, now, false, own, "vm-2/a"); got != "vm-6/a" {
			t.Fatalf("looks at %s in the other data centre, where vm-6 told of a free slot", got)
		}
	}
	again := 0
	for range 40 {
		p := twoCentres(now)
		answered(p, now, "vm-6/a", 1, false)
		if look(p, now.Add((hintFor+1)*time.Millisecond), false) == "vm-6/a" {
			again++ // by chance
		}
	}
	if again > 20 {
		t.Errorf("%d of 40 looks go to a slot that was free a while ago", again)
	}
}

// All endpoints of the data centre were looked at. The picker must say so, rather than give
// one of them again.
func TestLookEndsWhereAllWereLookedAt(t *testing.T) {
	now := time.Unix(1000, 0)
	p := twoCentres(now)
	var tried []string
	for range 4 {
		c, err := p.PickFreeSlot(now, true, tried)
		if err != nil {
			t.Fatal(err)
		}
		if c.Endpoint().DataCentre != "dc-0" {
			t.Errorf("looks at %s", c.Endpoint().ID)
		}
		tried = append(tried, c.Endpoint().ID)
	}
	if c, err := p.PickFreeSlot(now, true, tried); err == nil {
		t.Errorf("looks at %s again", c.Endpoint().ID)
	}
}

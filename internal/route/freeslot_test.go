package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// newTwoCentrePicker returns the picker of vm-0. Every VM has one endpoint: 0 to 3 are in its own
// data centre, 4 to 7 in another.
func newTwoCentrePicker(now time.Time) *Picker {
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

// reportAnswer reports an answer of the endpoint with the given load to p.
func reportAnswer(p *Picker, now time.Time, id string, busy int, failed bool) {
	s := p.states[id]
	c := p.choose(s, false)
	c.Done(now, Report{Outcome: call.Ran, Failed: failed, Latency: 100 * time.Millisecond, Load: Load{Busy: busy, Slots: 4, Present: true}})
}

// A node sends a call a minute to each endpoint. The one that just answered reported a free slot
// that only this node knows of. Its next call went elsewhere and waited.
func TestNextCallUsesReportedFreeSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	pickFreeSlot := func(p *Picker, now time.Time, near bool, tried ...string) string {
		c, err := p.PickFreeSlot(now, near, tried)
		if err != nil {
			return ""
		}
		c.Done(now, Report{Outcome: call.NotRun, Refused: call.ReasonBusy})
		return c.Endpoint().ID
	}
	own := "vm-0/a"
	for range 20 {
		p := newTwoCentrePicker(now)
		if got := pickFreeSlot(p, now, true); got != own {
			t.Fatalf("picked %s before the own VM", got)
		}
		reportAnswer(p, now, "vm-6/a", 1, false)
		reportAnswer(p, now, "vm-2/a", 3, false)
		reportAnswer(p, now, "vm-3/a", 4, false) // full
		reportAnswer(p, now, "vm-1/a", 0, true)  // idle because it fails calls
		if got := pickFreeSlot(p, now, true, own); got != "vm-2/a" {
			t.Fatalf("picked %s, although vm-2 reported a free slot", got)
		}
		if got := pickFreeSlot(p, now, false, own, "vm-2/a"); got != "vm-6/a" {
			t.Fatalf("picked %s in the other data centre, although vm-6 reported a free slot", got)
		}
	}
	reused := 0
	for range 40 {
		p := newTwoCentrePicker(now)
		reportAnswer(p, now, "vm-6/a", 1, false)
		if pickFreeSlot(p, now.Add((hintTTLMillis+1)*time.Millisecond), false) == "vm-6/a" {
			reused++ // picked at random
		}
	}
	if reused > 20 {
		t.Errorf("%d of 40 picks use an outdated report", reused)
	}
}

// If all endpoints of the data centre were tried, PickFreeSlot must fail instead of returning one
// of them again.
func TestPickFreeSlotFailsWhenAllTried(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newTwoCentrePicker(now)
	var tried []string
	for range 4 {
		c, err := p.PickFreeSlot(now, true, tried)
		if err != nil {
			t.Fatal(err)
		}
		if c.Endpoint().DataCentre != "dc-0" {
			t.Errorf("picked %s of another data centre", c.Endpoint().ID)
		}
		tried = append(tried, c.Endpoint().ID)
	}
	if c, err := p.PickFreeSlot(now, true, tried); err == nil {
		t.Errorf("picked %s again", c.Endpoint().ID)
	}
}

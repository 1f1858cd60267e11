package load

import (
	"context"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/node"
)

// Each counter of the report must be able to leave zero, or a zero says nothing.
func TestTallyCountsBrokenPromises(t *testing.T) {
	lookup, booking, keyed := classNamed("lookups"), classNamed("bookings"), classNamed("submissions")
	for _, tt := range []struct {
		name    string
		class   *faultClass
		seen    seen
		runs    int
		planned bool
		want    FaultCounts
	}{
		{"answered", lookup, seen{answered: true}, 1, false, FaultCounts{Answered: 1}},
		{"lookup run twice", lookup, seen{answered: true}, 2, false, FaultCounts{Answered: 1}},
		{"told of success, never run", booking, seen{answered: true}, 0, false, FaultCounts{Answered: 1, Lost: 1}},
		{"lookup without an answer", lookup, seen{silent: 1, unanswered: true}, 0, false, FaultCounts{Unknown: 1, Lost: 1}},
		{"booking without an answer", booking, seen{broken: 1, unanswered: true}, 1, false, FaultCounts{Unknown: 1}},
		{"booking run twice", booking, seen{answered: true}, 2, false, FaultCounts{Answered: 1, Doubled: 1}},
		{"submission run twice", keyed, seen{unknown: 2}, 2, false, FaultCounts{Unknown: 1, Doubled: 1}},
		{"another body under the key", keyed, seen{notRun: 1, reused: true}, 1, false, FaultCounts{Refused: 1}},
		{"answer of another", lookup, seen{partial: 1}, 1, false, FaultCounts{Refused: 1, Partial: 1}},
		{"run, but told not run", booking, seen{notRun: 2}, 1, false, FaultCounts{Refused: 1, FalseNotRun: 1}},
		{"refused", booking, seen{notRun: 1}, 0, false, FaultCounts{Refused: 1}},
		{"refused once, then lost on the way", booking, seen{notRun: 1, broken: 1}, 1, false, FaultCounts{Unknown: 1}},
		{"cut off by a planned stop", booking, seen{broken: 1}, 0, true, FaultCounts{Unknown: 1, CutOff: 1}},
		{"cut off, and answered when sent again", lookup, seen{broken: 1, answered: true}, 1, true, FaultCounts{Answered: 1, CutOff: 1}},
		{"server error", lookup, seen{failed: 1}, 0, false, FaultCounts{Failed: 1}},
		{"innocent in quarantine", lookup, seen{notRun: 1, locked: true}, 0, false, FaultCounts{Refused: 1, LockedOut: 1}},
	} {
		var tl tally
		s := tt.seen
		s.call = &faultCall{class: tt.class, id: "x"}
		tl.add(&s)
		got := tl.count(map[string]int{"x": tt.runs}, tt.planned)
		got.notes, got.P99ms = nil, 0
		tt.want.Sent = 1
		if !got.equal(&tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

func (c *FaultCounts) equal(o *FaultCounts) bool {
	a, b := *c, *o
	a.notes, b.notes = nil, nil
	return a.Sent == b.Sent && a.Answered == b.Answered && a.Refused == b.Refused && a.Unknown == b.Unknown &&
		a.Failed == b.Failed && a.Lost == b.Lost && a.Doubled == b.Doubled && a.Partial == b.Partial &&
		a.FalseNotRun == b.FalseNotRun && a.CutOff == b.CutOff && a.LockedOut == b.LockedOut
}

// A clerk's submission takes longer than the clerk's program waits, and it is
// sent again through other nodes. Without claims each sending runs. With them it
// runs once, and each sending is told the one outcome.
func TestResendsRunOnce(t *testing.T) {
	deadline := time.Second
	f := &fault{name: "resends", rate: 1, length: time.Millisecond, play: func(ctx context.Context, p *play) {
		slow := *classNamed("submissions")
		slow.query = "time=400ms"
		for _, id := range []string{"a", "b", "c"} {
			k := newFaultCall(&slow, id)
			k.patience, k.deadline = resentPatience, deadline
			p.call(ctx, k)
		}
	}}
	var baseline, ours FaultCounts
	if err := f.measure(context.Background(), node.Baseline(), &baseline); err != nil {
		t.Fatal(err)
	}
	deadline = 10 * time.Second // it ends with the answer
	if err := f.measure(context.Background(), node.Policies{}, &ours); err != nil {
		t.Fatal(err)
	}
	if baseline.Doubled == 0 {
		t.Errorf("without claims nothing was doubled: %+v", baseline)
	}
	if ours.Sent != 3 || ours.Answered != 3 || ours.broken() {
		t.Errorf("with claims: %+v", ours)
	}
}

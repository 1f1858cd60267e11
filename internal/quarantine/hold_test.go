package quarantine

import (
	"testing"
	"time"
)

// One call broke at an entry node. From then on each answer there waited for one
// lock, for hours, although the hold had ended after three seconds.
func TestHoldsEndByThemselves(t *testing.T) {
	l, fp := newList("a"), request("x")
	l.Broke(start, fp, "vm1/b")
	if !l.held.active(start) {
		t.Fatal("no hold")
	}
	l.Broke(start.Add(time.Second), request("y"), "vm1/b")
	if l.held.active(start.Add(time.Second + DefaultHoldFor)) {
		t.Error("the holds are asked after the last has ended")
	}
	if !l.held.active(start.Add(DefaultHoldFor)) || !l.Isolated(start.Add(DefaultHoldFor), request("y")) {
		t.Error("the later hold is lost")
	}
}

package quarantine

import (
	"testing"
	"time"
)

// After one call broke, each answer at the entry node took the lock of the holds for hours,
// although the hold had ended after three seconds.
func TestHoldsExpire(t *testing.T) {
	l, fp := newList("a"), request("x")
	l.Broke(start, fp, "vm1/b")
	if !l.entryHolds.active(start) {
		t.Fatal("no hold")
	}
	l.Broke(start.Add(time.Second), request("y"), "vm1/b")
	if l.entryHolds.active(start.Add(time.Second + DefaultHoldFor)) {
		t.Error("a hold is active after the last one has ended")
	}
	if !l.entryHolds.active(start.Add(DefaultHoldFor)) || !l.Isolated(start.Add(DefaultHoldFor), request("y")) {
		t.Error("the later hold is lost")
	}
}

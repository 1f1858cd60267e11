package node

import (
	"math"
	"testing"

	"github.com/marlpass/marlpass/internal/config"
)

// Guards against a split that drifts from its weights over a few hundred calls. Independent
// draws would be off by several percent, and at few calls per node a part with a small weight
// could get none for a while.
func TestSplitKeepsItsWeights(t *testing.T) {
	target := &config.Target{Name: "t", Service: "old", Split: []config.Part{
		{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "off", Weight: 0},
	}}
	s := newSplit(target)
	for _, calls := range []int{20, 300, 5000} {
		got := make(map[string]int)
		for range calls {
			got[s.pick().Service]++
		}
		if off := math.Abs(float64(got["new"]) - float64(calls)*0.1); off > 2 {
			t.Errorf("of %d calls %d went to the new service", calls, got["new"])
		}
		if got["off"] > 0 {
			t.Errorf("%d calls went to a part of weight 0", got["off"])
		}
	}
	if s.forService("new").Service != "new" || s.forService("else") != nil || len(s.forService("new").Split) != 0 {
		t.Error("the parts are not found by their services")
	}
}

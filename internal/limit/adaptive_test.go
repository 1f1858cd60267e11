package limit

import (
	"testing"
	"time"
)

// TestAdaptiveFigures compares the adaptive limit with a fixed one for a backend
// server that has a third of the slots that it announces.
//
//	go test ./internal/limit -run AdaptiveFigures -v -figures
func TestAdaptiveFigures(t *testing.T) {
	skipWithoutFigures(t)
	for _, fixed := range []bool{true, false} {
		s := simulation{
			classes: usualMix(), announcedSlots: 18, realSlots: 6, duration: 60 * time.Second, seed: 1, attempts: 1,
			load: 0.5, laterLoad: 2, options: QueueOptions{FixedLimit: fixed},
		}
		r := s.run()
		t.Logf("fixed %v: limit at the end %d\n%s\n%s", fixed, r.limit, tableHead, tableRow("", r))
	}
}

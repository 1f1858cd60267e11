package limit

import (
	"testing"
	"time"
)

// TestAdaptiveFigures prints the adaptive limit against a fixed one where the
// backend server has a third of the slots that it announces.
//
//	go test ./internal/limit -run AdaptiveFigures -v -figures
func TestAdaptiveFigures(t *testing.T) {
	skipUnlessAsked(t)
	for _, fixed := range []bool{true, false} {
		s := simulation{
			classes: usualMix(), slots: 18, real: 6, lasts: 60 * time.Second, seed: 1, attempts: 1,
			load: 0.5, loadLater: 2, options: QueueOptions{FixedLimit: fixed},
		}
		r := s.run()
		t.Logf("fixed %v: limit at the end %d\n%s\n%s", fixed, r.limit, tableHead, row("", r))
	}
}

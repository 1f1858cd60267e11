package proxy

import (
	"testing"

	"github.com/marlpass/marlpass/internal/call"
)

// Guards against a download that counts a busy link as an attempt, and so is refused after two of
// them while other VMs have room.
func TestSearchContinuesAfterLinkFull(t *testing.T) {
	full := &answer{refusal: &call.Refusal{Reason: call.ReasonLinkFull}}
	for look, want := range map[SearchScope]bool{SearchDataCentre: true, SearchRegion: true, NoSearch: false} {
		s := slotSearch{scope: look}
		if got := s.foundNoSlot(full); got != want {
			t.Errorf("look %v: got %v", look, got)
		}
	}
}

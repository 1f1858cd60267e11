package proxy

import (
	"testing"

	"github.com/marlpass/marlpass/internal/call"
)

// Guards, under many downloads over slow links, against downloads that are refused for a busy
// link while slots are to spare, and against ones that wait for it and hold slots of a service
// that is short of them.
func TestDownloadsWaitForTheLinkOnlyWhereSlotsAreToSpare(t *testing.T) {
	for _, c := range []struct {
		name string
		hop  hop
		want float64
	}{
		{"slots to spare", hop{spare: true}, sparePart},
		{"another VM may have room", hop{spare: true, noWait: true}, linkPart},
		{"no slots to spare", hop{}, linkPart},
	} {
		if got := c.hop.linkPart(); got != c.want {
			t.Errorf("%s: got %v of the answer time, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a download that counts a busy link as an attempt, and so is refused after two
// of them while other VMs have room.
func TestLookGoesOnWhereTheLinkIsFull(t *testing.T) {
	full := &answer{refusal: &call.Refusal{Reason: call.ReasonLinkFull}}
	for look, want := range map[Look]bool{LookNear: true, LookFar: true, LookNot: false} {
		s := search{look: look}
		if got := s.failed(full); got != want {
			t.Errorf("look %v: got %v", look, got)
		}
	}
}

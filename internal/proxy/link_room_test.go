package proxy

import (
	"testing"

	"github.com/marlpass/marlpass/internal/call"
)

// oneBackend is the only backend server of a VM.
type oneBackend struct{ Backend }

func (b oneBackend) Find(string, string) (Backend, bool) { return b.Backend, true }

// Guards, under many downloads over slow links, against downloads that are refused for a busy
// link while slots are free, and against ones that wait for it and hold slots others wait for.
func TestDownloadsWaitForTheLinkOnlyWhereSlotsAreFree(t *testing.T) {
	var use SlotUse
	d := &Destination{DestinationParts: DestinationParts{
		Backends: oneBackend{}, SlotUse: func(Backend) SlotUse { return use },
	}}
	for _, c := range []struct {
		name   string
		use    SlotUse
		noWait bool
		want   float64
	}{
		{"slots are free", SlotUse{Busy: 8, Limit: 9}, false, freePart},
		{"another VM may have room", SlotUse{Busy: 8, Limit: 9}, true, linkPart},
		{"all slots are taken", SlotUse{Busy: 9, Limit: 9}, false, linkPart},
		{"calls wait for slots", SlotUse{Busy: 8, Limit: 9, Waiting: 1}, false, linkPart},
	} {
		use = c.use
		in := &inbound{}
		in.hop.noWait = c.noWait
		if got := d.linkPart(in); got != c.want {
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

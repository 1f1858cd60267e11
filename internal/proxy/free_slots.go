package proxy

import (
	"net/http"

	"github.com/marlpass/marlpass/internal/call"
)

// headerSlotsFree marks, between nodes, a rejection by a backend server whose load report shows free
// slots. A mark instead of the load costs bytes in this case only, and leaves what the entry node's
// picker knows of the endpoint unchanged.
const headerSlotsFree = "Marlpass-Slots-Free"

var slotsFreeValue = []string{"1"}

// rejectedWithFreeSlots reports whether a backend server rejected the call while its load report
// shows free slots.
func (a *answer) rejectedWithFreeSlots() bool {
	if a.refusal == nil || a.refusal.Reason != call.ReasonBackend {
		return false
	}
	return a.slotsFree || a.load.Known && a.load.Busy < a.load.Slots
}

// setSlotsFree marks the refusal that is about to be sent to another node.
func (a *answer) setSlotsFree(h http.Header) {
	if a.rejectedWithFreeSlots() {
		h[headerSlotsFree] = slotsFreeValue
	}
}

package proxy

import (
	"testing"

	"github.com/marlpass/marlpass/internal/call"
)

// A backend server refuses half of its calls at random while three of its six
// slots are free. Taken for full, it had its limit cut with every refusal, down to
// one call at a time, and most callers were refused by its own node.
func TestRefusedAtCapacity(t *testing.T) {
	refused := &call.Refusal{Reason: call.ReasonBackend}
	for _, c := range []struct {
		name string
		a    answer
		want bool
	}{
		{"room", answer{refusal: refused, load: Load{Busy: 3, Slots: 6, Known: true}}, false},
		{"full", answer{refusal: refused, load: Load{Busy: 6, Slots: 6, Known: true}}, true},
		{"says nothing", answer{refusal: refused}, true},
		{"refused by this node", answer{refusal: &call.Refusal{Reason: call.ReasonOverloaded}}, false},
		{"lost", answer{err: errAnswerTimeout}, false},
	} {
		if got := c.a.refusedAtCapacity(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

package proxy

import (
	"testing"

	"github.com/marlpass/marlpass/internal/call"
)

// Guards against a backend server that refuses half of its calls at random with slots free, and is
// taken for full: each refusal cut its limit, down to one concurrent call.
func TestRefusedAtCapacity(t *testing.T) {
	refused := &call.Refusal{Reason: call.ReasonBackend}
	for _, c := range []struct {
		name string
		a    answer
		want bool
	}{
		{"room", answer{refusal: refused, load: Load{Busy: 3, Slots: 6, Known: true}}, false},
		{"full", answer{refusal: refused, load: Load{Busy: 6, Slots: 6, Known: true}}, true},
		{"no load reported", answer{refusal: refused}, true},
		{"refused by this node", answer{refusal: &call.Refusal{Reason: call.ReasonOverloaded}}, false},
		{"lost", answer{err: errAnswerTimeout}, false},
	} {
		if got := c.a.refusedAtCapacity(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

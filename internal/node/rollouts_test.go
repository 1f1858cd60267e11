package node

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/rollout"
)

// Guards against calls that waited for a slot of a canary and run there after its version was
// rolled back, and against calls that waited at a draining baseline and are refused.
func TestWaitingCallsOfAClosedServer(t *testing.T) {
	now := time.Now()
	canary := &serverAdmission{Admission: rollout.Admission{Open: true, Limited: true, Limit: 1}}
	canary.remaining.Store(1)
	for _, c := range []struct {
		name      string
		admission *serverAdmission
		runs      bool
	}{
		{"a canary with a call left", canary, true},
		{"a canary without one", canary, false},
		{"a version that was rolled back", &serverAdmission{}, false},
		{"a baseline that drains", &serverAdmission{closesAt: now.Add(-time.Second)}, true},
	} {
		s := &versionedServer{service: "s", version: "v2"}
		s.admission.Store(c.admission)
		r := &rollouts{}
		r.servers.Store(&map[string]*versionedServer{"i": s})
		if refusal := r.Begin(now, "i"); (refusal == nil) != c.runs {
			t.Errorf("%s: %v", c.name, refusal)
		}
	}
}

package node

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/rollout"
)

// Guards against calls that run at a canary after its version was rolled back while they waited
// for a slot, and against the refusal of calls that waited at a draining baseline.
func TestCallsWaitingAtAClosedServer(t *testing.T) {
	now := time.Now()
	canary := &serverAdmission{Admission: rollout.Admission{Open: true, Limited: true, Limit: 1}}
	canary.remaining.Store(1)
	for _, c := range []struct {
		name      string
		admission *serverAdmission
		runs      bool
	}{
		{"canary with a call left", canary, true},
		{"canary without calls left", canary, false},
		{"version that was rolled back", &serverAdmission{}, false},
		{"draining baseline", &serverAdmission{closesAt: now.Add(-time.Second)}, true},
	} {
		s := &versionedServer{service: "s", version: "v2"}
		s.admission.Store(c.admission)
		r := &rollouts{}
		r.servers.Store(&map[string]*versionedServer{"i": s})
		if refusal := r.Begin(now, "i"); (refusal == nil) != c.runs {
			t.Errorf("%s: got refusal %v", c.name, refusal)
		}
	}
}

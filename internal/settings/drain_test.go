package settings

import (
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/settings/strict"
)

// The platform kills a stopping process after its grace. With a limit of its own that
// is longer, a node would lose the calls that it waits for, and its last log lines.
func TestDrainEndsWithinTheGrace(t *testing.T) {
	for _, c := range []struct{ limit, grace, notice, want time.Duration }{
		{time.Minute, 6 * time.Second, 2200 * time.Millisecond, 3100 * time.Millisecond},
		{time.Second, 6 * time.Second, 2200 * time.Millisecond, time.Second},
		{time.Minute, 0, 2 * time.Second, time.Minute},
		{time.Minute, 2 * time.Second, 2 * time.Second, 0},
	} {
		d := Drain{Limit: strict.Duration{Duration: c.limit}, Grace: strict.Duration{Duration: c.grace}}
		if got := d.LimitWithin(c.notice); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	a := Announce{Renew: strict.Duration{Duration: 1500 * time.Millisecond}}
	if got := a.TTLOr(3 * time.Second); got != 7500*time.Millisecond {
		t.Errorf("a backend server that renews every 1.5 s is kept for %v", got)
	}
}

package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quota"
)

// Guards against calls of urgent classes that are refused before an answer can come: they may wait for
// less than the least time between two reports.
func TestShortWaitIsReportedInTime(t *testing.T) {
	for _, c := range []struct {
		name      string
		nodes     int
		shortWait bool
		want      time.Duration
	}{
		{"long wait", 80, false, quota.MinReportInterval},
		{"short wait", 80, true, quota.MinWaitReportInterval},
		{"short wait in a large mesh", 1200, true, quota.MinReportInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Node{self: membership.VM{ID: "vm-0", DataCentre: "dc-0"}}
				n.views.Store(newTestView(c.nodes))
				w := newWorkspaces(n)
				r := &usageReporter{w: w, lastSent: time.Now()}
				started := time.Now()
				w.limiter.Ask(started, "w", false) // the first call triggers a report
				if c.shortWait {
					w.shortWait <- struct{}{}
				}
				r.awaitDue(t.Context())
				if got := time.Since(started); got != c.want {
					t.Errorf("reported after %v, want %v", got, c.want)
				}
			})
		})
	}
}

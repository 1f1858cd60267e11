package quota

import (
	"testing"
	"time"
)

// Guards against a share of the quota that stays reserved for a former collector of a data centre, while
// its nodes report to its successor: workspaces within their quota were refused.
func TestFormerCollectorKeepsNoQuota(t *testing.T) {
	const name = "w"
	limits := map[string]Limit{name: {Rate: 100, Burst: 10}}
	for _, c := range []struct {
		name  string
		empty bool // whether the former collector reports that no node reports to it
	}{{"the former collector is gone", false}, {"the former collector stays", true}} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1e6, 0)
			collector := NewCollector()
			collector.SetDataCentre("dc0")
			usage := []Usage{{Workspace: name, RecentRate: 40, AverageRate: 40}}
			var admissions []Admission
			for range 50 {
				now = now.Add(ExchangeInterval)
				collector.AddNodeReport(now, "n", 1, usage)
				if since := now.Sub(time.Unix(1e6, 0)); since < 2*time.Second {
					collector.AddCollectorReport(now, "dc1", "former", 1, usage)
				} else {
					collector.AddCollectorReport(now, "dc1", "successor", 1, usage)
					if c.empty {
						collector.AddCollectorReport(now, "dc1", "former", 1, nil)
					}
				}
				admissions = collector.Decide(now, limits)
			}
			if len(admissions) > 0 {
				t.Errorf("admission ratio %.2f at 80 of 100 calls per second, want 1", admissions[0].Ratio)
			}
		})
	}
}

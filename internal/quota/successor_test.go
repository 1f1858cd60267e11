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
			control := NewCollector() // never had the former collector
			control.SetDataCentre("dc0")
			var admissions, controls []Admission
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
				control.AddNodeReport(now, "n", 1, usage)
				control.AddCollectorReport(now, "dc1", "successor", 1, usage)
				controls = control.Decide(now, limits)
			}
			if len(admissions) != 1 || len(controls) != 1 {
				t.Fatalf("%d and %d admissions, want one each: at 80 of 100 calls per second the workspace is near its quota", len(admissions), len(controls))
			}
			got, want := admissions[0], controls[0]
			if got.Ratio < 1 || got.Hold.Foreseen < 1 || got.Hold.Calls != want.Hold.Calls {
				t.Errorf("ratio %v, %v foreseen and %v calls; want 1, 1 and %v", got.Ratio, got.Hold.Foreseen, got.Hold.Calls, want.Hold.Calls)
			}
		})
	}
}

// Guards against nodes whose calls count twice, and against a smaller part of the tolerance, while the
// collector of a data centre changes.
func TestDataCentreCountsOnceWhileItsCollectorChanges(t *testing.T) {
	const name = "w"
	now := time.Unix(1e6, 0)
	usage := []Usage{{Workspace: name, RecentRate: 40, AverageRate: 40, Admitted: 100}}
	former, successor, remote := NewCollector(), NewCollector(), NewCollector()
	former.AddNodeReport(now, "n", 1, usage)
	remote.AddCollectorReport(now, "dc1", "former", 1, former.NodeTotals())
	now = now.Add(ReportInterval)
	successor.AddNodeReport(now, "n", 1, usage)
	former.AddNodeReport(now, "n", 1, WithoutRates(usage))
	remote.AddCollectorReport(now, "dc1", "former", 1, former.NodeTotals())
	remote.AddCollectorReport(now, "dc1", "successor", 1, successor.NodeTotals())
	if got := remote.averageRate(name); got != 40 {
		t.Errorf("average rate %v of 40 calls per second", got)
	}
	if got := remote.dataCentres(); got != 2 {
		t.Errorf("%d data centres counted, want 2", got)
	}
}

// Guards against calls taken out of the bucket for a reporter that had timed out, and put back although
// they are not counted afterwards.
func TestReturningReporterGetsNoTokensBack(t *testing.T) {
	const name = "w"
	now := time.Unix(1e6, 0)
	c := NewCollector()
	limits := map[string]Limit{name: {Rate: 100, Burst: 10}}
	usage := []Usage{{Workspace: name, RecentRate: 40, AverageRate: 40}}
	c.AddCollectorReport(now, "dc1", "other", 1, usage)
	c.Decide(now, limits)
	for range 5 {
		now = now.Add(collectorTimeout / 4)
		c.Decide(now, limits)
	}
	before := c.bucket(name).level
	c.AddCollectorReport(now, "dc1", "other", 1, usage)
	if got := c.bucket(name).level; got > before {
		t.Errorf("%v tokens before the report, %v after", before, got)
	}
}

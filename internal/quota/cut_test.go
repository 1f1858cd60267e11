package quota

import (
	"testing"
	"time"
)

// Guards against both sides of a partition exceeding the quota together: after a surge that begins
// with the partition, each side computes too small a reserved share for the other.
func TestSidesOfACutShareTheQuota(t *testing.T) {
	const name = "w"
	const partitionAt, detectedAt = time.Second, 2 * time.Second
	limit := Limit{Rate: 100, Burst: 50}
	start := time.Unix(1e6, 0)
	sides := []*Collector{NewCollector(), NewCollector()}
	for at := time.Duration(0); at <= detectedAt; at += ExchangeInterval {
		now := start.Add(at)
		rate := 50.0
		if at > partitionAt {
			rate = 50 + 100*(at-partitionAt).Seconds() // a surge
		}
		for _, c := range sides {
			c.AddNodeReport(now, "n", 1, []Usage{{Workspace: name, RecentRate: rate, AverageRate: rate}})
			c.Decide(now, map[string]Limit{name: limit})
		}
		if at <= partitionAt {
			sides[0].AddCollectorReport(now, "dc1", "c1", 1, sides[1].NodeTotals())
			sides[1].AddCollectorReport(now, "dc0", "c0", 1, sides[0].NodeTotals())
		}
	}
	together := 0.0
	for _, c := range sides {
		together += limit.withoutShare(c.reservedShares()[name]).Rate
	}
	if together > limit.Rate {
		t.Errorf("both sides admit %.0f calls per second together, the quota is %.0f", together, limit.Rate)
	}
}

package quota

import (
	"testing"
	"time"
)

// Guards against sides of a cut that both take too much for as long as it lasts: a surge as the cut
// begins makes each of them take the other's share of the quota for smaller than it is.
func TestSidesOfACutShareTheQuota(t *testing.T) {
	const name = "w"
	const cutAt, foundAt = time.Second, 2 * time.Second
	limit := Limit{Rate: 100, Burst: 50}
	start := time.Unix(1e6, 0)
	sides := []*Collector{NewCollector(), NewCollector()}
	for at := time.Duration(0); at <= foundAt; at += ExchangeInterval {
		now := start.Add(at)
		usual := 50.0
		if at > cutAt {
			usual = 50 + 100*(at-cutAt).Seconds() // a surge
		}
		for _, c := range sides {
			c.AddNodeReport(now, "n", 1, []Usage{{Workspace: name, RecentRate: usual, AverageRate: usual}})
			c.Decide(now, map[string]Limit{name: limit})
		}
		if at <= cutAt {
			sides[0].AddCollectorReport(now, "c1", 1, sides[1].NodeTotals())
			sides[1].AddCollectorReport(now, "c0", 1, sides[0].NodeTotals())
		}
	}
	together := 0.0
	for _, c := range sides {
		together += limit.less(c.kept()[name]).Rate
	}
	if together > limit.Rate {
		t.Errorf("both sides may take %.0f calls a second, the quota is %.0f", together, limit.Rate)
	}
}

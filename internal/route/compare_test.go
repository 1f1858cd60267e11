package route

import (
	"testing"
	"time"
)

// nineEndpoints at 60% of their capacity, which is 9*6/20 ms = 2,700 a second.
func nineEndpoints(change func(first *simEndpoint)) simSetup {
	eps := simEndpoints("a", 0, 9)
	if change != nil {
		change(eps[0])
	}
	return simSetup{eps: eps, rate: 1620, length: 5 * time.Second}
}

type comparison struct{ rr, lo, lr, ours simResult }

func compare(t *testing.T, c simSetup) comparison {
	t.Helper()
	r := comparison{
		rr:   c.run(makeRoundRobin),
		lo:   c.run(makeLeastOutstanding),
		lr:   c.run(makeLeastReported),
		ours: c.run(makeOurs),
	}
	t.Logf("round robin       %v", r.rr)
	t.Logf("least outstanding %v", r.lo)
	t.Logf("least reported    %v", r.lr)
	t.Logf("ours              %v", r.ours)
	return r
}

func TestCompareNoFault(t *testing.T) {
	c := nineEndpoints(nil)
	c.rate = 2295 // 85% of capacity
	r := compare(t, c)
	if r.ours.percentile(.99) >= r.rr.percentile(.99) {
		t.Error("p99 is no better than that of round robin")
	}
}

// Users see a burst of errors although most backend servers are well. One
// backend server loses its store and fails each call within a millisecond. It
// looks idle, so whoever goes by open calls sends it more and more of them.
func TestCompareFastFailing(t *testing.T) {
	r := compare(t, nineEndpoints(func(e *simEndpoint) { e.failFrom = time.Second }))
	if r.ours.errors*4 >= r.rr.errors || r.ours.errors*4 >= r.lo.errors {
		t.Error("errors are not below a quarter of those of each baseline")
	}
}

// Users wait although other backend servers are free. One backend server runs
// at a third of its speed, and its reports say for good that it is idle.
// Whoever believes them sends it everything.
func TestCompareStaleZero(t *testing.T) {
	r := compare(t, nineEndpoints(func(e *simEndpoint) { e.zeroLoad, e.slow = true, 3 }))
	if r.ours.share(0) >= r.rr.share(0) {
		t.Error("the endpoint that seems idle draws more than with round robin")
	}
	if r.ours.percentile(.99) >= r.rr.percentile(.99) || r.ours.percentile(.99) >= r.lr.percentile(.99) {
		t.Error("p99 is no better than that of the baselines")
	}
}

// As above, but the backend server is as fast as the others and only its reports
// are wrong.
func TestCompareOnlyReportsWrong(t *testing.T) {
	r := compare(t, nineEndpoints(func(e *simEndpoint) { e.zeroLoad = true }))
	if r.ours.share(0) >= r.lr.share(0)/2 {
		t.Error("the wrong reports draw more than half of what they draw when believed")
	}
	if r.ours.errors > 0 || r.ours.percentile(.99) >= r.lr.percentile(.99) {
		t.Error("worse than believing the reports")
	}
}

// Some users wait ten times as long. One backend server is slow, but answers.
func TestCompareSlow(t *testing.T) {
	r := compare(t, nineEndpoints(func(e *simEndpoint) { e.slow = 10 }))
	if r.ours.percentile(.99)*2 >= r.rr.percentile(.99) {
		t.Error("p99 is not below half of that of round robin")
	}
	if r.ours.errors > r.rr.errors {
		t.Error("more errors than round robin")
	}
}

// Users wait after a VM was replaced. The new backend server is eight times
// slower while its caches are empty, and gets its full part at once.
func TestCompareColdStart(t *testing.T) {
	r := compare(t, nineEndpoints(func(e *simEndpoint) { e.ReadySince, e.coldFor = simStart, 3*time.Second }))
	if r.ours.percentile(.99) >= r.rr.percentile(.99) {
		t.Error("p99 is no better than that of round robin")
	}
}

// Users of one data centre are refused while the other two have room. Two of
// its three endpoints are gone, and the one left can't carry its callers.
func TestCompareDataCentreShort(t *testing.T) {
	eps := append(simEndpoints("a", 0, 1), simEndpoints("b", 1, 3)...)
	eps = append(eps, simEndpoints("c", 4, 3)...)
	dcs := []string{"a", "b", "c"}
	c := simSetup{eps: eps, rate: 1260, length: 5 * time.Second, entryDC: func(i int) string { return dcs[i%3] }}
	r := compare(t, c)
	onlyOwn := c.run(makeOwnOnly)
	t.Logf("own only          %v", onlyOwn)
	if r.ours.errors > 0 || onlyOwn.errors == 0 {
		t.Errorf("errors: %d, and %d without spill", r.ours.errors, onlyOwn.errors)
	}
	if r.ours.far*2 >= r.rr.far {
		t.Error("calls to other data centres are not below half of those of round robin")
	}
	if r.ours.percentile(.99) >= r.rr.percentile(.99) {
		t.Error("p99 is no better than that of round robin")
	}
}

// makeOwnOnly never spills.
func makeOwnOnly(entry int, dc string, eps []Endpoint) simPolicy {
	var own []Endpoint
	for _, e := range eps {
		if e.DataCentre == dc {
			own = append(own, e)
		}
	}
	o := makeOurs(entry, dc, own).(*ours)
	for i, e := range eps {
		o.index[e.ID] = i
	}
	return o
}

// Most calls fail although three backend servers of nine are well: the other
// six fail at once. The cap lets only four be ejected, and the two that stay
// must not draw calls by their quick failures.
func TestCompareMostLookDead(t *testing.T) {
	c := nineEndpoints(nil)
	c.rate = 540 // 60% of what the three carry
	for _, e := range c.eps[:6] {
		e.failFrom = time.Second
	}
	r := compare(t, c)
	if r.ours.errors*2 >= r.rr.errors {
		t.Error("errors are not below half of those of round robin")
	}
}

// Each node sees few calls of a service, as at 1,200 nodes and 61 services. It
// must not send them all to the endpoint that was a little better once.
func TestCompareSparse(t *testing.T) {
	c := nineEndpoints(nil)
	c.rate, c.entries = 2295, 240
	r := compare(t, c)
	if r.ours.percentile(.99) >= r.lo.percentile(.99)*11/10 {
		t.Error("p99 is more than a tenth above that of least outstanding")
	}
}

// As above, with one endpoint that fails at once.
func TestCompareSparseFastFailing(t *testing.T) {
	c := nineEndpoints(func(e *simEndpoint) { e.failFrom = time.Second })
	c.entries = 240
	r := compare(t, c)
	if r.ours.errors*2 >= r.rr.errors || r.ours.errors*2 >= r.lo.errors {
		t.Error("errors are not below half of those of each baseline")
	}
}

// The load of a node is small beside that of the mesh: 300 entry nodes share 20
// endpoints. The subset must leave enough choice.
func TestCompareSubsetSizes(t *testing.T) {
	c := simSetup{eps: simEndpoints("a", 0, 20), rate: 3600, length: 5 * time.Second, entries: 240}
	c.eps[0].slow = 10
	var p99 []time.Duration
	for _, k := range []int{1, 2, 3, 4, 8, 20} {
		r := c.run(makeOursWith(Options{MinSubset: k, Connections: 1}, 240))
		t.Logf("subset of %2d: %v; entry nodes an endpoint %d", k, r, 240*k/20)
		p99 = append(p99, r.percentile(.99))
	}
	if p99[2] >= p99[0] {
		t.Error("a subset of three is no better than one of one")
	}
}

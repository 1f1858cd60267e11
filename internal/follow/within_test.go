package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against late versions under a longer bound, which lets nodes read less often: random
// faults as in TestReachingNodesHoldVersionsInTime, for several bounds that users set.
func TestVersionsAreInForceWithinTheStatedTime(t *testing.T) {
	startCodec(t)
	for _, within := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 13 * time.Second} {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%v_seed_%d", within, seed), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 40))
				withMeshWithin(t, within, []int{3 + rng.IntN(6), 3 + rng.IntN(6), 3 + rng.IntN(20)}, func(m *testMesh) {
					gap := 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))
					for range 3 {
						m.injectFaults(rng)
						m.changeStorm(within+time.Duration(rng.Int64N(int64(6*time.Second))), gap)
					}
				})
			})
		}
	}
}

// Guards against requests to the store that do not decrease under a longer bound.
func TestReadRateFollowsInForceBound(t *testing.T) {
	startCodec(t)
	const length = 30 * time.Second
	countRequests := func(within time.Duration) (n int) {
		withMeshWithin(t, within, []int{8, 8, 8, 8, 8, 8}, func(m *testMesh) {
			before := m.sourceReads()
			time.Sleep(length)
			n = m.sourceReads() - before
		})
		return n
	}
	short, long := countRequests(2*time.Second), countRequests(4*time.Second)
	t.Logf("requests in %v: %d with a bound of 2 s, %d with 4 s", length, short, long)
	if long > short*6/10 {
		t.Errorf("%d requests with a bound of 4 s, %d with 2 s", long, short)
	}
}

// Guards against a load on the source that grows with the number of data centres under frequent
// changes: neither the requests nor the whole versions returned may grow.
func TestReadsDoNotGrowWithDataCentres(t *testing.T) {
	startCodec(t)
	countRequests := func(dcs int) (reads, given int) {
		sizes := make([]int, dcs)
		for i := range sizes {
			sizes[i] = 12
		}
		withMesh(t, sizes, func(m *testMesh) {
			reads, given = m.sourceReads(), m.setRefusing(false)
			m.changeStorm(10*time.Second, 300*time.Millisecond)
			m.changeStorm(20*time.Second, time.Minute)
			reads, given = m.sourceReads()-reads, m.setRefusing(false)-given
		})
		return reads, given
	}
	fewReads, fewGiven := countRequests(2)
	manyReads, manyGiven := countRequests(6)
	t.Logf("2 data centres: %d requests, %d versions; 6: %d, %d", fewReads, fewGiven, manyReads, manyGiven)
	if manyReads > fewReads*5/4 || manyGiven > fewGiven*5/4 {
		t.Errorf("6 data centres: %d requests and %d versions, 2 data centres: %d and %d", manyReads, manyGiven, fewReads, fewGiven)
	}
}

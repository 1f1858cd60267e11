package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a reading that is slower where users allow more time, and then too slow: drawn
// troubles as in TestReachingNodesHoldVersionsInTime, for bounds that users state.
func TestVersionsAreInForceWithinTheStatedTime(t *testing.T) {
	startCodec(t)
	for _, within := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 13 * time.Second} {
		for seed := range uint64(12) {
			t.Run(fmt.Sprintf("%v_seed_%d", within, seed), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 40))
				withMeshWithin(t, within, []int{3 + rng.IntN(6), 3 + rng.IntN(6), 3 + rng.IntN(20)}, func(m *meshOfNodes) {
					gap := 200*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))
					for range 3 {
						m.trouble(rng)
						m.storm(within+time.Duration(rng.Int64N(int64(6*time.Second))), gap)
					}
				})
			})
		}
	}
}

// Guards against a store that is asked as often where users allow a version more time.
func TestQuestionsFollowTheStatedTime(t *testing.T) {
	startCodec(t)
	const length = 30 * time.Second
	asked := func(within time.Duration) (n int) {
		withMeshWithin(t, within, []int{8, 8, 8, 8, 8, 8}, func(m *meshOfNodes) {
			before := m.read()
			time.Sleep(length)
			n = m.read() - before
		})
		return n
	}
	short, long := asked(2*time.Second), asked(4*time.Second)
	t.Logf("questions in %v: %d for 2 s, %d for 4 s", length, short, long)
	if long > short*6/10 {
		t.Errorf("%d questions where a version has 4 s, %d where it has 2 s", long, short)
	}
}

// Guards the pattern of a mesh over many data centres in a storm of changes: what the source is asked,
// and how often it gives a version whole, must not grow with their number.
func TestQuestionsDoNotGrowWithDataCentres(t *testing.T) {
	startCodec(t)
	asked := func(dcs int) (reads, given int) {
		sizes := make([]int, dcs)
		for i := range sizes {
			sizes[i] = 12
		}
		withMesh(t, sizes, func(m *meshOfNodes) {
			reads, given = m.read(), m.refuse(false)
			m.storm(10*time.Second, 300*time.Millisecond)
			m.storm(20*time.Second, time.Minute)
			reads, given = m.read()-reads, m.refuse(false)-given
		})
		return reads, given
	}
	fewReads, fewGiven := asked(2)
	manyReads, manyGiven := asked(6)
	t.Logf("2 data centres: %d questions, %d versions; 6: %d, %d", fewReads, fewGiven, manyReads, manyGiven)
	if manyReads > fewReads*5/4 || manyGiven > fewGiven*5/4 {
		t.Errorf("6 data centres ask %d times and are given %d versions, 2 data centres %d and %d", manyReads, manyGiven, fewReads, fewGiven)
	}
}

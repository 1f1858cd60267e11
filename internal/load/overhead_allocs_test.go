//go:build !race

// The race detector makes sync.Pool drop what it holds at random, so that
// allocations cannot be counted under it.

package load

import "testing"

// maxAddedAllocs is how many allocations two real nodes may make for a call
// above what two bare relays with the same headers make.
const maxAddedAllocs = 3

// Operators see the collector take a core of every node at 110,000 calls a
// second. Each allocation on a call's path is paid at every hop; five of them
// crept in when the policies were wired, each small and in another package.
func TestForwardedCallAllocations(t *testing.T) {
	m, err := newSmallMesh(t.Context(), overheadSlots)
	if err != nil {
		t.Fatal(err)
	}
	defer m.close()
	a, err := m.allocs(t.Context(), 1000, 2000)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("allocations a call: direct %.1f, bare %.1f, mesh %.1f", a.Direct, a.Bare, a.Mesh)
	if a.PerCall > maxAddedAllocs {
		t.Errorf("two nodes make %.1f allocations a call above two bare relays; at most %d are allowed",
			a.PerCall, maxAddedAllocs)
	}
}

package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ids returns the endpoint IDs of a list of states.
func ids(list []*state) []string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.ep.Load().ID
	}
	return out
}

// A few endpoints of a large service come, go or change many times a second. The table kept across
// updates must equal the one built from the current endpoints alone.
func TestUpdateMatchesFreshTable(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		incremental := New(Options{Self: "vm-3", DataCentre: "dc-0", Region: "r"})
		current := make(map[int]Endpoint)
		for range 60 {
			for range 1 + rng.IntN(5) {
				i := rng.IntN(40)
				if rng.IntN(3) == 0 {
					delete(current, i)
					continue
				}
				current[i] = Endpoint{
					ID: fmt.Sprintf("vm-%d/i", i), VM: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), Region: "r",
					Slots: 1 + rng.IntN(8), Ready: rng.IntN(4) > 0, Draining: rng.IntN(4) == 0,
				}
			}
			var list []Endpoint
			for _, e := range current {
				list = append(list, e)
			}
			now := time.Unix(100, 0)
			incremental.Update(now, list)
			fresh := New(Options{Self: "vm-3", DataCentre: "dc-0", Region: "r"})
			fresh.Update(now, list)
			got, want := incremental.table.Load(), fresh.table.Load()
			if !slices.Equal(ids(got.all), ids(want.all)) || len(incremental.states) != len(current) {
				t.Fatalf("seed %d: %v, want %v", seed, ids(got.all), ids(want.all))
			}
			for n := range numTiers {
				if !slices.Equal(ids(got.subset[n]), ids(want.subset[n])) {
					t.Fatalf("seed %d, tier %d: %v, want %v", seed, n, ids(got.subset[n]), ids(want.subset[n]))
				}
			}
		}
	}
}

package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ids returns the endpoints of a list of states.
func ids(list []*state) []string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.ep.Load().ID
	}
	return out
}

// Guards the pattern of a large service of which a few endpoints come, go or change many times a
// second: the table that is carried on from update to update must be the one that the endpoints of
// the moment would give by themselves.
func TestUpdatesGiveTheTableOfTheMoment(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		carried := New(Options{Self: "vm-3", DataCentre: "dc-0", Region: "r"})
		held := make(map[int]Endpoint)
		for range 60 {
			for range 1 + rng.IntN(5) {
				i := rng.IntN(40)
				if rng.IntN(3) == 0 {
					delete(held, i)
					continue
				}
				held[i] = Endpoint{
					ID: fmt.Sprintf("vm-%d/i", i), VM: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%2), Region: "r",
					Slots: 1 + rng.IntN(8), Ready: rng.IntN(4) > 0, Draining: rng.IntN(4) == 0,
				}
			}
			var list []Endpoint
			for _, e := range held {
				list = append(list, e)
			}
			now := time.Unix(100, 0)
			carried.Update(now, list)
			fresh := New(Options{Self: "vm-3", DataCentre: "dc-0", Region: "r"})
			fresh.Update(now, list)
			got, want := carried.table.Load(), fresh.table.Load()
			if !slices.Equal(ids(got.all), ids(want.all)) || len(carried.states) != len(held) {
				t.Fatalf("seed %d: %v, want %v", seed, ids(got.all), ids(want.all))
			}
			for n := range tiers {
				if !slices.Equal(ids(got.near[n]), ids(want.near[n])) {
					t.Fatalf("seed %d, tier %d: %v, want %v", seed, n, ids(got.near[n]), ids(want.near[n]))
				}
			}
		}
	}
}

package capacity

import (
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/route"
)

// subsetCases are a data centre's numbers of entry nodes, each with the
// endpoints that one of 61 services has among them, and with those of a service
// ten times as large.
func subsetCases() [][2]int {
	return [][2]int{{24, 1}, {60, 1}, {120, 2}, {240, 4}, {240, 40}, {1200, 20}}
}

// MeasureSubsets lets every entry node choose its endpoints, and counts how many
// nodes chose each.
func MeasureSubsets() []SubsetPoint {
	var out []SubsetPoint
	for _, c := range subsetCases() {
		out = append(out, measureSubset(c[0], c[1]))
	}
	return out
}

func measureSubset(nodes, endpoints int) SubsetPoint {
	now := time.Unix(0, 0)
	var list []route.Endpoint
	for i := range endpoints {
		id := fmt.Sprintf("vm-%d/a", i)
		list = append(list, route.Endpoint{
			ID: id, VM: id, DataCentre: "dc1", Region: "north", Addr: id, Slots: 8, Ready: true,
		})
	}
	users := make(map[string]float64, endpoints)
	chosen := 0.0
	for i := range nodes {
		p := route.New(route.Options{Self: fmt.Sprintf("entry-%d", i), DataCentre: "dc1", Region: "north", Seed: 1})
		p.SetEntryNodes(nodes)
		p.Update(now, list)
		for _, e := range p.Endpoints(now) {
			if e.InSubset {
				users[e.Endpoint.ID]++
				chosen++
			}
		}
	}
	var counts []float64
	for _, e := range list {
		counts = append(counts, users[e.ID])
	}
	return SubsetPoint{Nodes: nodes, Endpoints: endpoints, PerEndpoint: quanta(counts), PerNode: chosen / float64(nodes)}
}

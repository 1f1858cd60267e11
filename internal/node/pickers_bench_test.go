package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// viewOf is a view of n nodes in 5 data centres, each with a backend server of
// one of 61 services.
func viewOf(n int) *membership.View {
	v := &membership.View{Self: "vm-0", Records: make(map[string]*membership.Seen, n)}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		v.Records[id] = &membership.Seen{Record: membership.Record{
			VM: membership.VM{
				ID: id, Region: fmt.Sprintf("region-%d", i%5/3), DataCentre: fmt.Sprintf("dc-%d", i%5),
				CallAddr: fmt.Sprintf("10.0.%d.%d:7302", i/250, i%250),
			},
			Sequence: 1, State: membership.VMAlive,
			Backends: []membership.Backend{{
				Service: fmt.Sprintf("service-%d", i%61), Instance: "i-1", Slots: 8, State: membership.BackendReady,
			}},
		}}
	}
	return v
}

func pickersOf(n int) *pickers {
	p := newPickers(membership.VM{ID: "vm-0", DataCentre: "dc-0", Region: "region-0"})
	p.update(time.Unix(0, 0), viewOf(n))
	return p
}

// BenchmarkPickers measures what a new view costs the pickers of a node, by the
// number of records in it, and the heap that the pickers keep.
func BenchmarkPickers(b *testing.B) {
	for _, n := range []int{100, 300, 600, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, v := pickersOf(n), viewOf(n)
			b.ReportAllocs()
			for b.Loop() {
				p.update(time.Unix(0, 0), v)
			}
			b.ReportMetric(pickersHeap(n), "heap-B")
		})
	}
}

func pickersHeap(n int) float64 {
	const copies = 10
	before := heapBytes()
	var keep [copies]*pickers
	for i := range keep {
		keep[i] = pickersOf(n)
	}
	after := heapBytes()
	runtime.KeepAlive(keep)
	return float64(after-before) / copies
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

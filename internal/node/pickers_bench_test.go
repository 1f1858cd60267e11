package node

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// newTestView returns a view of n nodes in 5 data centres, each with a backend server of one of
// 61 services.
func newTestView(n int) *membership.View {
	v := &membership.View{Self: "vm-0", Records: make(map[string]*membership.ObservedRecord, n)}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		v.Records[id] = &membership.ObservedRecord{Record: membership.Record{
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

func newTestPickers(n int) *pickers {
	p := newPickers(membership.VM{ID: "vm-0", DataCentre: "dc-0", Region: "region-0"}, false)
	p.update(time.Unix(0, 0), newTestView(n))
	return p
}

// BenchmarkPickers measures an update of a node's pickers with one changed record, by the
// number of records in the view, and the heap that the pickers hold.
func BenchmarkPickers(b *testing.B) {
	for _, n := range []int{100, 300, 600, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := newTestPickers(n)
			views := [2]*membership.View{newTestView(n), nil}
			views[1] = withOneChange(views[0])
			p.update(time.Unix(0, 0), views[0])
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				p.update(time.Unix(0, 0), views[i%2])
			}
			b.ReportMetric(pickersHeap(n), "heap-B")
		})
	}
}

// BenchmarkPickersAll is BenchmarkPickers with every record changed, which is the cost of an
// update that is not incremental.
func BenchmarkPickersAll(b *testing.B) {
	p := newTestPickers(1200)
	views := [2]*membership.View{newTestView(1200), newTestView(1200)}
	for _, r := range views[1].Records {
		r.Backends[0].Slots++
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		p.update(time.Unix(0, 0), views[i%2])
	}
}

// withOneChange returns a view that shares all records but one with v.
func withOneChange(v *membership.View) *membership.View {
	next := &membership.View{Self: v.Self, Records: maps.Clone(v.Records)}
	r := *v.Records["vm-7"]
	r.Backends = slices.Clone(r.Backends)
	r.Backends[0].State = membership.BackendDraining
	next.Records["vm-7"] = &r
	return next
}

func pickersHeap(n int) float64 {
	const copies = 10
	before := heapBytes()
	var keep [copies]*pickers
	for i := range keep {
		keep[i] = newTestPickers(n)
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

// BenchmarkPickersOneService is BenchmarkPickers where one service has all backend servers.
func BenchmarkPickersOneService(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			views := [2]*membership.View{newTestView(n), nil}
			for _, r := range views[0].Records {
				r.Backends[0].Service = "service-7"
			}
			views[1] = withOneChange(views[0])
			p := newPickers(membership.VM{ID: "vm-0", DataCentre: "dc-0", Region: "region-0"}, true)
			p.update(time.Unix(0, 0), views[0])
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				p.update(time.Unix(0, 0), views[i%2])
			}
		})
	}
}

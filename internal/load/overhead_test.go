package load

import (
	"context"
	"testing"
)

// BenchmarkCall makes the same call by each way. Compare allocs/op of mesh and
// bare: both are two hops.
func BenchmarkCall(b *testing.B) {
	m, err := newSmallMesh(overheadSlots)
	if err != nil {
		b.Fatal(err)
	}
	defer m.close()
	for _, w := range m.ways("bench-", 1, 1000) {
		b.Run(w.name, func(b *testing.B) {
			if err := m.ready(context.Background(), w.opts); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if out := Do(context.Background(), &w.opts, "bench"); out != Answered {
					b.Fatal(out)
				}
			}
		})
	}
}

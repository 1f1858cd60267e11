package config

import (
	"fmt"
	"testing"
)

// twoYearSize is the size that the users expect: 61 services, 300 targets.
func twoYearSize() []Object {
	var out []Object
	for i := range 61 {
		out = append(out, EncodeService(Service{Name: fmt.Sprint("service", i), Team: fmt.Sprint("team", i%9)}))
	}
	for i := range 300 {
		out = append(out, EncodeTarget(Target{
			Name: fmt.Sprint("class", i), Team: fmt.Sprint("team", i%61%9), Service: fmt.Sprint("service", i%61),
			Match: Match{
				Host: fmt.Sprintf("h%d.example.nl", i%61), Methods: []string{"GET"},
				PathPrefix: fmt.Sprintf("/service%d/v1/class%d", i%61, i),
			},
			AnswerWithinMS: int64(50 + i), Share: float64(i%10) / 10, Priority: i%9 + 1,
		}))
	}
	return out
}

// BenchmarkTwoYearSize measures what one version costs a node, with the bytes
// that it takes on the wire.
func BenchmarkTwoYearSize(b *testing.B) {
	s := mustNew(b, twoYearSize()...)
	t := *s.Target("class7")
	t.AnswerWithinMS = 99
	_, d, err := s.Next([]Object{EncodeTarget(t)}, nil)
	if err != nil {
		b.Fatal(err)
	}
	snapshot, delta := must(EncodeSnapshot(s)), must(EncodeDeltas([]*Delta{d}))
	b.Run("apply-delta", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := d.Apply(s); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(delta)), "wire-bytes")
	})
	b.Run("decode-snapshot", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := DecodeSnapshot(snapshot); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(snapshot)), "wire-bytes")
	})
	b.Run("check", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := s.Check(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
)

func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{9, 130} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) { benchmarkPickDone(b, n, false, completion.Run{}) })
		b.Run(fmt.Sprintf("endpoints=%d/parallel", n), func(b *testing.B) { benchmarkPickDone(b, n, true, completion.Run{}) })
		run := completion.Run{Class: "c", Usual: time.Millisecond, Slowdown: 1}
		b.Run(fmt.Sprintf("endpoints=%d/reported", n), func(b *testing.B) { benchmarkPickDone(b, n, false, run) })
	}
}

func benchmarkPickDone(b *testing.B, n int, parallel bool, run completion.Run) {
	p := New(Options{Self: "n", DataCentre: "a", Region: "r"})
	eps := make([]Endpoint, n)
	for i := range eps {
		eps[i] = Endpoint{ID: fmt.Sprint("e", i), DataCentre: "a", Region: "r", Slots: 6, Ready: true}
	}
	p.Update(simStart, eps)
	r := Report{Outcome: call.Ran, Latency: time.Millisecond, Load: Load{Busy: 2, Slots: 6, Present: true}, Run: run}
	b.ReportAllocs()
	if parallel {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				pickDone(b, p, r)
			}
		})
		return
	}
	for b.Loop() {
		pickDone(b, p, r)
	}
}

func pickDone(b *testing.B, p *Picker, r Report) {
	c, err := p.Pick(simStart, nil)
	if err != nil {
		b.Error(err)
		return
	}
	c.Done(simStart, r)
}

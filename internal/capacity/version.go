package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/config/match"
)

// versionSizes are numbers of services and targets, up to the size that decides
// the design and twice that.
func versionSizes() [][2]int {
	return [][2]int{{8, 38}, {15, 75}, {30, 150}, {services, targets}, {2 * services, 2 * targets}}
}

// MeasureConfigs measures what a version costs a node, by its size.
func MeasureConfigs() ([]ConfigPoint, error) {
	var out []ConfigPoint
	for _, size := range versionSizes() {
		p, err := measureConfig(size[0], size[1])
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

func versionOf(services, targets int) (*config.Snapshot, error) {
	var list []config.Object
	for i := range services {
		list = append(list, config.EncodeService(config.Service{Name: fmt.Sprintf("service%d", i), Team: fmt.Sprintf("team%d", i%9)}))
	}
	for i := range targets {
		list = append(list, config.EncodeTarget(versionTarget(i, services, 0)))
	}
	return config.New(1, config.Hash{}, list)
}

func versionTarget(i, services, round int) config.Target {
	service := fmt.Sprintf("service%d", i%services)
	return config.Target{
		Name: targetName(i), Team: fmt.Sprintf("team%d", i%services%9), Service: service, Idempotent: true,
		Match: config.Match{
			Host: fmt.Sprintf("h%d.example.nl", i%services), Methods: []string{"GET"},
			PathPrefix: fmt.Sprintf("/%s/v1/class%d", service, i),
		},
		AnswerWithinMS: int64(1000 + i + round), Share: 0.5, Priority: i%9 + 1,
	}
}

func measureConfig(services, targets int) (ConfigPoint, error) {
	p := ConfigPoint{Services: services, Targets: targets}
	s, err := versionOf(services, targets)
	if err != nil {
		return p, err
	}
	_, delta, err := s.Next([]config.Object{config.EncodeTarget(versionTarget(0, services, 1))}, nil)
	if err != nil {
		return p, err
	}
	whole, err := config.EncodeSnapshot(s)
	if err != nil {
		return p, err
	}
	part, err := config.EncodeDeltas([]*config.Delta{delta})
	if err != nil {
		return p, err
	}
	p.SnapshotBytes, p.DeltaBytes = len(whole), len(part)
	m, err := match.Compile(s)
	if err != nil {
		return p, err
	}
	p.Heap = heapOf(func() any {
		s, _ := config.DecodeSnapshot(whole)
		m, _ := match.Compile(s)
		return []any{s, m}
	})
	p.ApplyUS = micros(timeOf(func() { _, _ = delta.Apply(s) }))
	p.CheckUS = micros(timeOf(func() { _ = s.Check() }))
	p.CompileUS = micros(timeOf(func() { _, _ = match.Compile(s) }))
	last := targets - 1
	host, path := fmt.Sprintf("h%d.example.nl", last%services), fmt.Sprintf("/service%d/v1/class%d/items/4711", last%services, last)
	p.MatchNS = float64(timeOf(func() { m.Match(host, path, "GET") }))
	return p, nil
}

// Bounds of the small timings.
const (
	timedRuns = 7
	timedFor  = 40 * time.Millisecond
)

// timeOf returns the median over a few runs of what one call of f takes.
func timeOf(f func()) time.Duration {
	var list []float64
	for range timedRuns {
		n := 0
		start := time.Now()
		for time.Since(start) < timedFor {
			for range 16 { // reads the clock less often
				f()
			}
			n += 16
		}
		list = append(list, float64(time.Since(start))/float64(n))
	}
	return time.Duration(median(list))
}

const heapCopies = 8

// heapOf returns the live heap that one result of f holds.
func heapOf(f func() any) float64 {
	f() // fills what is made once
	before := heldMemory()
	var keep [heapCopies]any
	for i := range keep {
		keep[i] = f()
	}
	after := heldMemory()
	runtime.KeepAlive(keep)
	return (after.heap - before.heap) / heapCopies
}

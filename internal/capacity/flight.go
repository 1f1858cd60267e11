package capacity

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/load"
	"github.com/marlpass/marlpass/internal/wait"
)

// flightTime is how long the backend server takes for a call, which is enough
// to start all calls and to look at the memory.
const flightTime = 4 * time.Second

// flightSizes are the numbers of calls in flight.
func flightSizes() []int { return []int{0, 50, 100, 200, 400} }

var errNotInFlight = errors.New("capacity: a call held back did not end well")

// MeasureFlight measures the memory of the process while calls are in flight.
func MeasureFlight(ctx context.Context) ([]FlightPoint, error) {
	p, err := newPair(ctx, 1, flightTime)
	if err != nil {
		return nil, err
	}
	defer p.close()
	var out []FlightPoint
	for _, way := range []string{WayDirect, WayDestination, WayMesh} {
		for _, n := range flightSizes() {
			point, err := p.flight(ctx, way, n)
			if err != nil {
				return nil, err
			}
			out = append(out, point)
		}
		p.ways[way].Client.CloseIdleConnections()
	}
	return out, nil
}

// flight holds n calls in flight and looks at the memory half way.
func (p *pair) flight(ctx context.Context, way string, n int) (FlightPoint, error) {
	opts := p.ways[way]
	var wg sync.WaitGroup
	outcomes := make(chan load.Outcome, n)
	for i := range n {
		wg.Go(func() { outcomes <- load.Do(ctx, &opts, fmt.Sprintf("flight-%s-%d-%d", way, n, i)) })
	}
	if err := wait.For(ctx, flightTime/2); err != nil {
		return FlightPoint{}, err
	}
	m := heldMemory()
	wg.Wait()
	close(outcomes)
	for o := range outcomes {
		if o != load.Answered {
			return FlightPoint{}, fmt.Errorf("%w: %s, %d calls, outcome %d", errNotInFlight, way, n, o)
		}
	}
	return FlightPoint{Way: way, InFlight: n, Heap: m.heap, Stack: m.stack, Goroutines: m.goroutines, Files: m.files}, nil
}

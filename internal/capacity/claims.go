package capacity

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/load"
	"github.com/marlpass/marlpass/internal/wait"
)

// ClaimOptions say how keyed calls are measured.
type ClaimOptions struct {
	Rates     []float64
	For       time.Duration
	Endpoints []int
	// Latency is how long the platform takes for an operation.
	Latency time.Duration
}

// DefaultClaims returns the options that the page's figures are made with.
func DefaultClaims() ClaimOptions {
	return ClaimOptions{
		Rates: []float64{10, 50, 100, 200, 400}, For: 4 * time.Second,
		Endpoints: []int{1, 9}, Latency: 8 * time.Millisecond,
	}
}

// MeasureClaims measures what keyed calls cost the platform.
func MeasureClaims(ctx context.Context, o ClaimOptions) ([]ClaimPoint, error) {
	var out []ClaimPoint
	for _, endpoints := range o.Endpoints {
		p, err := newPair(ctx, endpoints, 0)
		if err != nil {
			return nil, err
		}
		p.m.Store.Slow(o.Latency)
		for _, rate := range o.Rates {
			point, err := p.claims(ctx, o, rate)
			if err != nil {
				p.close()
				return nil, err
			}
			point.Endpoints = endpoints
			out = append(out, point)
		}
		p.close()
	}
	return out, nil
}

// settleClaims is how long after the last call its outcome may be written.
const settleClaims = time.Second

// claims sends calls, each with its own key. What the idle mesh does at the
// platform meanwhile is taken off.
func (p *pair) claims(ctx context.Context, o ClaimOptions, rate float64) (ClaimPoint, error) {
	point := ClaimPoint{Rate: rate}
	point.Before = loadAverage()
	idle := p.m.Store.Counts()
	start := time.Now()
	if err := wait.For(ctx, settleClaims); err != nil {
		return point, err
	}
	before := p.m.Store.Counts()
	idleFor := time.Since(start).Seconds()
	start = time.Now()
	p.sendKeyed(ctx, &point, o.For)
	if err := wait.For(ctx, settleClaims); err != nil {
		return point, err
	}
	took := time.Since(start).Seconds()
	after := p.m.Store.Counts()
	n := float64(max(point.Calls, 1))
	point.Writes = (float64(after.Writes-before.Writes) - float64(before.Writes-idle.Writes)/idleFor*took) / n
	point.Reads = (float64(after.Reads-before.Reads) - float64(before.Reads-idle.Reads)/idleFor*took) / n
	point.After = loadAverage()
	return point, ctx.Err()
}

func (p *pair) sendKeyed(ctx context.Context, point *ClaimPoint, d time.Duration) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	every := time.Duration(float64(time.Second) / point.Rate)
	base := p.ways[WayMesh]
	base.Method, base.URL = http.MethodPost, "http://"+p.entry.Node().Addrs().Callers+keyedPath
	start := time.Now()
	for i := range int(point.Rate * d.Seconds()) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * every)))
		opts := base
		id := fmt.Sprintf("key-%d-%g-%d", start.UnixNano(), point.Rate, i)
		opts.Header = http.Header{call.HeaderKey: {id}}
		wg.Go(func() {
			outcome := load.Do(ctx, &opts, id)
			mu.Lock()
			defer mu.Unlock()
			point.Calls++
			if outcome != load.Answered {
				point.Bad++
			}
		})
	}
	wg.Wait()
}

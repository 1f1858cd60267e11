package capacity

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/load"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/settings"
)

// Names in the pair.
const (
	pairService = "berths"
	pairClass   = "lookups"
	keyedClass  = "bookings"
	pairPath    = "/berths"
	keyedPath   = "/bookings"
)

// pair is the smallest mesh with both roles of a call: the entry node on one VM
// and the destination node on another, with a real backend server beside the
// latter.
type pair struct {
	m       *localmesh.Mesh
	entry   *localmesh.VM
	backend *backend.Server
	stop    context.CancelFunc
	ways    map[string]load.Options
}

// newPair starts a mesh of one entry node and some holders of the service, whose
// backend servers take the mean time for each call.
func newPair(ctx context.Context, holders int, mean time.Duration) (*pair, error) {
	m, err := localmesh.Start(localmesh.Options{
		Name: "capacity", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{{Name: "dc1", Region: "north", VMs: holders + 1}},
	})
	if err != nil {
		return nil, err
	}
	p := &pair{m: m, entry: m.VMs[holders]}
	announcing, stop := context.WithCancel(context.Background())
	p.stop = stop
	if err := p.prepare(ctx, announcing, holders, mean); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *pair) close() {
	p.stop()
	p.m.Close()
}

func (p *pair) prepare(ctx, announcing context.Context, holders int, mean time.Duration) error {
	if err := p.m.WaitReady(ctx); err != nil {
		return err
	}
	op, err := newOperator(p.m)
	if err != nil {
		return err
	}
	if err := op.service(ctx, pairService); err != nil {
		return err
	}
	spec := func(path string, idempotent bool) *adminapi.TargetSpec {
		return &adminapi.TargetSpec{
			Service: pairService, Match: adminapi.Match{PathPrefix: path}, Idempotent: adminapi.NewOptBool(idempotent),
		}
	}
	if err := op.target(ctx, pairClass, spec(pairPath, true)); err != nil {
		return err
	}
	if err := op.target(ctx, keyedClass, spec(keyedPath, false)); err != nil {
		return err
	}
	for i := range holders {
		set := backend.Defaults()
		set.Service, set.Instance, set.Slots, set.Backlog = pairService, instance, slots, slots
		set.Distribution, set.Mean.Duration = backend.Fixed, mean
		set.ColdStart.Duration, set.ConnectionCost.Duration = 0, 0
		if p.backend, err = p.m.StartBackend(announcing, p.m.VMs[i], set); err != nil {
			return err
		}
	}
	if err := p.m.WaitVersion(ctx, op.version); err != nil {
		return err
	}
	if err := p.m.WaitEndpoints(ctx, pairService, holders); err != nil {
		return err
	}
	p.setWays(p.m.VMs[holders-1])
	return nil
}

// callBytes is the length of the answers' filler.
const callBytes = "?bytes=1000"

// setWays says how a call reaches the backend server of a VM. The hop header is
// what an entry node sends to a destination node.
func (p *pair) setWays(holder *localmesh.VM) {
	way := func(addr string, h http.Header) load.Options {
		return load.Options{
			URL: "http://" + addr + pairPath + callBytes, Method: http.MethodGet, Header: h,
			Client: &http.Client{Transport: &http.Transport{
				DisableCompression: true, MaxIdleConns: slots, MaxIdleConnsPerHost: slots,
			}},
		}
	}
	hop := http.Header{call.HeaderHop: {"30000 " + pairClass + " " + pairService + " " + instance}}
	p.ways = map[string]load.Options{
		WayDirect:      way(p.backend.Addr(), nil),
		WayDestination: way(holder.Node().Addrs().Calls, hop),
		WayMesh:        way(p.entry.Node().Addrs().Callers, nil),
	}
}

// wayNames are the ways in the order in which they take turns.
var wayNames = []string{WayDirect, WayDestination, WayMesh}

// CallOptions say how calls are measured.
type CallOptions struct {
	Rates []float64
	For   time.Duration // of each way at each rate
	Turns int           // how often the ways take turns in it
}

// DefaultCalls returns the options that the page's figures are made with.
func DefaultCalls() CallOptions {
	return CallOptions{Rates: []float64{92, 250, 500, 1000, 1500}, For: 4 * time.Second, Turns: 4}
}

const warmCalls = 32

// MeasureCalls measures what a call costs by each way. The ways take turns, so
// that whatever else the machine does falls on all of them.
func MeasureCalls(ctx context.Context, o CallOptions) ([]CallPoint, error) {
	p, err := newPair(ctx, 1, 0)
	if err != nil {
		return nil, err
	}
	defer p.close()
	var out []CallPoint
	for _, rate := range o.Rates {
		points, err := p.measure(ctx, o, rate)
		if err != nil {
			return nil, err
		}
		out = append(out, points...)
	}
	return out, nil
}

// stream gathers the turns of one way.
type stream struct {
	point   CallPoint
	latency *hdrhistogram.Histogram
	cpu     time.Duration
	took    time.Duration
	allocs  uint64
	bytes   uint64
}

func (p *pair) measure(ctx context.Context, o CallOptions, rate float64) ([]CallPoint, error) {
	streams := make([]*stream, len(wayNames))
	before := loadAverage()
	for i, name := range wayNames {
		streams[i] = &stream{point: CallPoint{Way: name, Rate: rate}}
		warm := p.ways[name]
		warm.Prefix = fmt.Sprintf("%g-%s-", rate, name)
		if err := load.Warm(ctx, warm, warmCalls); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	for turn := range o.Turns {
		for i, name := range wayNames {
			opts := p.ways[name]
			opts.Rate, opts.For = rate, o.For/time.Duration(o.Turns)
			opts.Prefix = fmt.Sprintf("%g-%s-%d-", rate, name, turn)
			streams[i].turn(ctx, opts)
		}
	}
	after := loadAverage()
	var out []CallPoint
	for _, s := range streams {
		s.point.Load = Load{before, after}
		out = append(out, s.result())
	}
	return out, ctx.Err()
}

// turn runs the stream for a while.
func (s *stream) turn(ctx context.Context, o load.Options) {
	var a, b runtime.MemStats
	runtime.ReadMemStats(&a)
	cpu, start := cpuTime(), time.Now()
	r := load.Run(ctx, o)
	s.cpu += cpuTime() - cpu
	s.took += time.Since(start)
	runtime.ReadMemStats(&b)
	s.allocs += b.Mallocs - a.Mallocs
	s.bytes += b.TotalAlloc - a.TotalAlloc
	s.point.Calls += r.Sent
	s.point.Bad += r.Sent - r.Answered
	if s.latency == nil {
		s.latency = r.Latency
		return
	}
	s.latency.Merge(r.Latency)
}

func (s *stream) result() CallPoint {
	p, n := s.point, float64(max(s.point.Calls, 1))
	p.CPU = s.cpu.Seconds() / s.took.Seconds()
	p.Allocs, p.Bytes = float64(s.allocs)/n, float64(s.bytes)/n
	p.Micros = quantaOf(s.latency)
	return p
}

func quantaOf(h *hdrhistogram.Histogram) Quantum {
	return Quantum{
		P50: float64(h.ValueAtQuantile(50)), P99: float64(h.ValueAtQuantile(99)), Max: float64(h.Max()),
	}
}

package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marlpass/marlpass/internal/settings/exit"
)

// Overhead is what the mesh adds to a call, measured at one rate.
type Overhead struct {
	Rate        float64 `json:"rate"` // calls a second at the entry node
	DirectP50us int64   `json:"direct_p50_us"`
	DirectP99us int64   `json:"direct_p99_us"`
	MeshP50us   int64   `json:"mesh_p50_us"`
	MeshP99us   int64   `json:"mesh_p99_us"`
	AddedP50us  int64   `json:"added_p50_us"`
	AddedP99us  int64   `json:"added_p99_us"`
	BareP50us   int64   `json:"bare_p50_us"` // two bare relays in a row
	BareP99us   int64   `json:"bare_p99_us"`
	Calls       int     `json:"calls"`
	Incomplete  int     `json:"incomplete"`
	Failed      int     `json:"failed"`
	Doubled     int     `json:"doubled"`
}

// Allocs are allocations for each call in the whole process: the client, the
// backend server, and what is between them.
type Allocs struct {
	Direct float64 `json:"direct_allocs"`
	Bare   float64 `json:"bare_allocs"`
	Mesh   float64 `json:"mesh_allocs"`
	// PerCall is what two nodes allocate above two bare relays.
	PerCall float64 `json:"allocs_per_call"`
	// PerHop is the half of it.
	PerHop float64 `json:"allocs_per_hop"`
}

// OverheadReport is what the subcommand prints: the figures of the highest
// rate, and those of each rate.
type OverheadReport struct {
	Overhead
	Allocs
	Rates []Overhead `json:"rates"`
}

// OverheadOptions are the flags of the subcommand.
type OverheadOptions struct {
	Rates  []float64
	For    time.Duration // for each rate and way
	Bytes  int
	Blocks int // how often the ways take turns
	// AllocCalls is how many calls the allocations are counted over.
	AllocCalls int
}

const overheadSummary = "what two nodes add to a call, against the same calls made directly"

func runOverhead(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	fs := newFlags("overhead", overheadSummary, stdout, stderr)
	rates := fs.String("rates", "100,1000", "calls a second, one measurement for each")
	each := fs.Duration("for", 6*time.Second, "how long each way is measured at each rate")
	size := fs.Int("bytes", 1000, "length of the answers")
	blocks := fs.Int("blocks", 6, "how often the ways take turns")
	allocs := fs.Int("alloc-calls", 3000, "how many calls the allocations are counted over")
	if code, ok := fs.Read(args); !ok {
		return code
	}
	o := OverheadOptions{For: *each, Bytes: *size, Blocks: max(*blocks, 1), AllocCalls: max(*allocs, 1)}
	for s := range strings.SplitSeq(*rates, ",") {
		r, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil || r <= 0 || r > maxRate {
			return fs.Bad(fmt.Errorf("-rates: %q must be a number from 0 to %d", s, maxRate))
		}
		o.Rates = append(o.Rates, r)
	}
	rep, err := MeasureOverhead(ctx, o)
	return fs.finish(rep, err, stdout)
}

const maxRate = 100000

// exit fails the command when an answer was wrong; slowness does not.
func (r *OverheadReport) exit() int {
	for _, o := range r.Rates {
		if o.Incomplete+o.Failed+o.Doubled > 0 {
			return exit.Failed
		}
	}
	return exit.OK
}

// way is one of the ways to the backend server.
type way struct {
	name   string
	opts   Options
	hist   *hdrhistogram.Histogram
	result Result
}

// MeasureOverhead measures the ways in turn.
func MeasureOverhead(ctx context.Context, o OverheadOptions) (*OverheadReport, error) {
	m, err := newSmallMesh(ctx, overheadSlots)
	if err != nil {
		return nil, err
	}
	defer m.close()
	rep := new(OverheadReport)
	for _, rate := range o.Rates {
		one, err := m.overhead(ctx, o, rate)
		if err != nil {
			return nil, err
		}
		rep.Rates = append(rep.Rates, one)
		rep.Overhead = one
	}
	rep.Allocs, err = m.allocs(ctx, o.Bytes, o.AllocCalls)
	return rep, err
}

const overheadSlots = 512

func (m *smallMesh) ways(prefix string, rate float64, bytes int) []*way {
	var ws []*way
	for _, w := range []struct{ name, url string }{{"direct", m.direct}, {"mesh", m.mesh}, {"bare", m.bare}} {
		ws = append(ws, &way{name: w.name, hist: newHistogram(), opts: Options{
			URL: w.url + "/cradle?bytes=" + strconv.Itoa(bytes), Rate: rate,
			Client: m.client(), Method: http.MethodGet, Prefix: prefix + w.name + "-",
		}})
	}
	return ws
}

// overhead measures at one rate. The ways take turns in blocks, so that
// whatever else the machine does falls on all of them.
func (m *smallMesh) overhead(ctx context.Context, o OverheadOptions, rate float64) (Overhead, error) {
	ws := m.ways(fmt.Sprintf("%g-", rate), rate, o.Bytes)
	for _, w := range ws {
		if err := m.ready(ctx, w.opts); err != nil {
			return Overhead{}, fmt.Errorf("%s: %w", w.name, err)
		}
	}
	for b := range o.Blocks {
		for _, w := range ws {
			opts := w.opts
			opts.For = o.For / time.Duration(o.Blocks)
			opts.Prefix += strconv.Itoa(b) + "-"
			w.add(Run(ctx, opts))
		}
	}
	return m.sum(rate, ws[0], ws[1], ws[2]), ctx.Err()
}

func (w *way) add(r Result) {
	w.hist.Merge(r.Latency)
	w.result.Sent += r.Sent
	w.result.Incomplete += r.Incomplete
	w.result.Failed += r.Failed + r.Refused
}

func (m *smallMesh) sum(rate float64, direct, mesh, bare *way) Overhead {
	o := Overhead{
		Rate:        rate,
		DirectP50us: direct.hist.ValueAtQuantile(50), DirectP99us: direct.hist.ValueAtQuantile(99),
		MeshP50us: mesh.hist.ValueAtQuantile(50), MeshP99us: mesh.hist.ValueAtQuantile(99),
		BareP50us: bare.hist.ValueAtQuantile(50), BareP99us: bare.hist.ValueAtQuantile(99),
		Calls:      mesh.result.Sent,
		Incomplete: mesh.result.Incomplete, Failed: mesh.result.Failed,
	}
	o.AddedP50us = o.MeshP50us - o.DirectP50us
	o.AddedP99us = o.MeshP99us - o.DirectP99us
	for id, n := range m.backend.RunsByID() {
		if n > 1 && strings.HasPrefix(id, mesh.opts.Prefix) {
			o.Doubled++
		}
	}
	return o
}

// allocs counts allocations, one call at a time.
func (m *smallMesh) allocs(ctx context.Context, bytes, calls int) (Allocs, error) {
	per := map[string]float64{}
	for _, w := range m.ways("allocs-", 1, bytes) {
		if err := m.ready(ctx, w.opts); err != nil {
			return Allocs{}, err
		}
		per[w.name] = allocsOf(ctx, &w.opts, calls)
	}
	a := Allocs{Direct: per["direct"], Bare: per["bare"], Mesh: per["mesh"]}
	a.PerCall = a.Mesh - a.Bare
	a.PerHop = a.PerCall / 2
	return a, ctx.Err()
}

func allocsOf(ctx context.Context, o *Options, calls int) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range calls {
		Do(ctx, o, o.Prefix+strconv.Itoa(i))
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / float64(calls)
}

func (r *OverheadReport) print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "calls/s\tcalls\tdirect p50\tp99\tmesh p50\tp99\tadded p50\tp99\tbare p50\tp99\tincomplete\tfailed\tdoubled\t")
	for _, o := range r.Rates {
		fmt.Fprintf(t, "%g\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", o.Rate, o.Calls,
			o.DirectP50us, o.DirectP99us, o.MeshP50us, o.MeshP99us, o.AddedP50us, o.AddedP99us,
			o.BareP50us, o.BareP99us, o.Incomplete, o.Failed, o.Doubled)
	}
	t.Flush()
	fmt.Fprintf(w, "times in microseconds; mesh: two nodes; bare: two relays that only copy\n")
	fmt.Fprintf(w, "allocations a call in the whole process: direct %.1f, bare %.1f, mesh %.1f; two nodes above two bare relays %.1f\n",
		r.Direct, r.Bare, r.Mesh, r.PerCall)
}

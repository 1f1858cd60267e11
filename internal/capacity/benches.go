package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"time"

	"golang.org/x/perf/benchfmt"
)

// benchmark is a Go benchmark that measures the inside of a package.
type benchmark struct {
	pkg, name, time string
}

func benchmarks() []benchmark {
	const short = "200ms"
	return []benchmark{
		{"./internal/membership", "^(BenchmarkHeap|BenchmarkViewAfterOneChange|BenchmarkIdleTick|BenchmarkAnswerProbe|BenchmarkFullState)$", short},
		{"./internal/node", "^BenchmarkPickers$", short},
		{"./internal/peer", "^BenchmarkExchange$", short},
		{"./internal/distribute", "^BenchmarkSpread$", "1x"},
	}
}

// benchRepeats is how often each benchmark runs; the median is kept.
const benchRepeats = "3"

// goTest runs `go test` in the module's root, where the program was started.
func goTest(ctx context.Context, env string, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test"}, args...)...)
	cmd.Env = append(os.Environ(), env)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("go test %v: %w\n%s", args, err, out)
	}
	return out, nil
}

// MeasureBenches runs the benchmarks of the packages that carry the lines.
func MeasureBenches(ctx context.Context) ([]BenchPoint, error) {
	var out []BenchPoint
	for _, b := range benchmarks() {
		count := benchRepeats
		if b.time == "1x" { // virtual time: the same every time
			count = "1"
		}
		text, err := goTest(ctx, "", "-run", "^$", "-bench", b.name, "-benchtime", b.time, "-count", count, b.pkg)
		if err != nil {
			return nil, err
		}
		points, err := parseBenches(b.pkg, text)
		if err != nil {
			return nil, err
		}
		out = append(out, points...)
	}
	return out, nil
}

// parseBenches reads the lines of benchmarks, and takes the median of those
// with the same name.
func parseBenches(pkg string, text []byte) ([]BenchPoint, error) {
	type figure struct{ name, unit string }
	lists := make(map[figure][]float64)
	var out []BenchPoint
	at := make(map[string]int)
	lines := benchfmt.NewReader(bytes.NewReader(text), pkg)
	for lines.Scan() {
		r, ok := lines.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		base, parts := r.Name.Parts()
		name := string(base)
		for _, p := range parts {
			if !bytes.HasPrefix(p, []byte("-")) { // the processors
				name += string(p)
			}
		}
		i, seen := at[name]
		if !seen {
			i = len(out)
			at[name] = i
			out = append(out, BenchPoint{Package: pkg, Name: name})
		}
		for _, v := range r.Values {
			key := figure{name, v.Unit}
			lists[key] = append(lists[key], v.Value)
			if !seen {
				out[i].Values = append(out[i].Values, BenchUnit{Unit: v.Unit})
			}
		}
	}
	for i := range out {
		for j := range out[i].Values {
			v := &out[i].Values[j]
			v.Value = median(lists[figure{out[i].Name, v.Unit}])
		}
	}
	return out, lines.Err()
}

// gossipSizes are the sizes of the membership's harness in virtual time.
const gossipSizes = "12,36,108,240,1200"

// MeasureGossip runs the membership's state machines in virtual time.
func MeasureGossip(ctx context.Context) ([]GossipPoint, error) {
	text, err := goTest(ctx, "MARLPASS_MEASURE="+gossipSizes, "-count=1", "-run", "TestMeasure$", "-v", "./internal/membership")
	if err != nil {
		return nil, err
	}
	return parseGossip(text)
}

var (
	gossipCost = regexp.MustCompile(`n=(\d+) peers=[\d.]+ idle_B/s mean=(\d+) max=(\d+) messages/s=([\d.]+)`)
	gossipTime = regexp.MustCompile(`n=(\d+) lazy=(\S+) urgent99=\S+ urgent=(\S+) applied=(\S+) `)
	errGossip  = errors.New("capacity: the membership's harness printed something else")
)

func parseGossip(text []byte) ([]GossipPoint, error) {
	costs, times := gossipCost.FindAllSubmatch(text, -1), gossipTime.FindAllSubmatch(text, -1)
	if len(costs) == 0 || len(costs) != len(times) {
		return nil, errGossip
	}
	var out []GossipPoint
	for i, c := range costs {
		t := times[i]
		p := GossipPoint{Bytes: number(c[2]), Busiest: number(c[3]), Messages: number(c[4])}
		p.Nodes = int(number(c[1]))
		p.LazyMS, p.UrgentMS, p.AppliedMS = duration(t[2]), duration(t[3]), duration(t[4])
		out = append(out, p)
	}
	return out, nil
}

func number(b []byte) float64 {
	f, _ := strconv.ParseFloat(string(b), 64)
	return f
}

func duration(b []byte) float64 {
	d, _ := time.ParseDuration(string(b))
	return millis(d)
}

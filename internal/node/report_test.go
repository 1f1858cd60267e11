package node

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/query"
)

// Size of the mesh for which the cost of a handover is measured.
const (
	fleetNodes    = 1200
	fleetServices = 61
	fleetClasses  = 3 // per service
	fleetCalls    = 110_000 * 60 / fleetNodes
)

// fullLoadReports returns the reports of a node whose meters hold a minute of the mesh's full
// load, spread evenly over all classes: the largest report possible.
func fullLoadReports(now time.Time) (*reports, []*config.Target) {
	n := &Node{self: membership.VM{ID: "neg-shed-001"}}
	n.calls = &callPath{meters: proxy.NewMeters(), pickers: newPickers(n.self, false)}
	rng := rand.New(rand.NewPCG(1, 2))
	var targets []*config.Target
	for i := range fleetServices * fleetClasses {
		targets = append(targets, &config.Target{
			Name: fmt.Sprintf("class-of-work-%03d", i), Service: "berths", AnswerWithinMS: 200,
		})
	}
	for i := range fleetCalls {
		m := n.calls.meters.Class(targets[i%len(targets)])
		m.Answered(now, time.Duration(float64(20*time.Millisecond)*rng.ExpFloat64()), false)
		if i%100 == 0 {
			m.Refused(now, call.ReasonOverloaded)
		}
	}
	return &reports{n: n}, targets
}

// Guards against counts that change when a report is packed, unpacked and summed.
func TestReportCarriesTheCounts(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r, targets := fullLoadReports(now)
	packed, err := packReport(r.ownReport(now))
	if err != nil {
		t.Fatal(err)
	}
	got, err := unpackReport(packed)
	if err != nil {
		t.Fatal(err)
	}
	sum := query.NewReports()
	sum.Add(reportOf("a", got))
	var calls, shed uint64
	for _, c := range sum.Classes(targets) {
		calls += c.Calls
		shed += c.Shed
		if c.P99MS < c.P50MS || c.P50MS <= 0 {
			t.Errorf("%+v", c)
		}
	}
	if calls != fleetCalls || shed != fleetCalls/100 {
		t.Errorf("%d calls, %d refused", calls, shed)
	}
}

// Guards against a failure on a report with fewer counts than bounds, or none: it is read as far
// as it is valid.
func TestIncompleteReportsAreRead(t *testing.T) {
	odd := &peerpb.Report{Classes: []*peerpb.ClassCounts{
		{Class: "a", Answered: 2, AtMostUs: []uint64{1, 2, 3}, Calls: []uint64{2}}, {},
	}}
	got := reportOf("vm", odd)
	if h := got.Classes["a"].Latency; len(h) != 1 || h[0].Calls != 2 {
		t.Errorf("%+v", got)
	}
}

// Guards against a malformed report from a peer: it is an error and takes no more memory than the
// bound.
func FuzzUnpackReport(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	r, _ := fullLoadReports(now)
	packed, err := packReport(r.ownReport(now))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed.Data, true)
	f.Add([]byte{0x0a, 0x03, 0x0a, 0x01, 'a'}, false)
	f.Add(reportEncoder.EncodeAll(make([]byte, 4*maxReportBytes), nil), true)
	f.Fuzz(func(t *testing.T, data []byte, z bool) {
		got, err := unpackReport(&peerpb.Packed{Data: data, Zstd: z})
		if err == nil {
			reportOf("vm", got)
		} else if !errors.Is(err, errBadReport) {
			t.Fatal(err)
		}
	})
}

// BenchmarkReport measures the cost of the largest report for the node that makes it, and its
// size.
func BenchmarkReport(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	r, _ := fullLoadReports(now)
	b.ReportAllocs()
	var wire, plain int
	for b.Loop() {
		ownReport := r.ownReport(now)
		packed, err := packReport(ownReport)
		if err != nil {
			b.Fatal(err)
		}
		wire, plain = proto.Size(packed), proto.Size(ownReport)
	}
	b.ReportMetric(float64(wire), "wire-B")
	b.ReportMetric(float64(plain), "plain-B")
}

// BenchmarkHandover measures the cost of unpacking and summing the reports of 1,200 nodes.
func BenchmarkHandover(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	r, targets := fullLoadReports(now)
	packed, err := packReport(r.ownReport(now))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		all := query.NewReports()
		for range fleetNodes {
			if err := addReport(all, "vm", packed); err != nil {
				b.Fatal(err)
			}
		}
		all.Classes(targets)
	}
}

// BenchmarkHeld measures the memory that the reports of 1,200 nodes take when all are kept, and
// that of their sums.
func BenchmarkHeld(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	r, _ := fullLoadReports(now)
	ownReport := r.ownReport(now)
	b.Run("reports", func(b *testing.B) {
		held(b, func() any {
			var all []query.NodeReport
			for range fleetNodes {
				all = append(all, reportOf("vm", ownReport))
			}
			return all
		})
	})
	b.Run("sums", func(b *testing.B) {
		held(b, func() any {
			all := query.NewReports()
			for range fleetNodes {
				all.Add(reportOf("vm", ownReport))
			}
			return all
		})
	})
}

// held reports the heap size of the value that f returns.
func held(b *testing.B, f func() any) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := f()
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(v)
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024, "held-KiB")
}

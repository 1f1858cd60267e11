package node

import (
	"errors"
	"fmt"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/query"
)

// maxReportBytes bounds a report after unpacking: ten times the largest one of a mesh with 61
// services.
const maxReportBytes = 256 << 10

// errBadReport means that a peer's report cannot be decoded.
var errBadReport = errors.New("node: report cannot be decoded")

var (
	reportEncoder = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)))
	reportDecoder = must(zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxReportBytes)))
)

// must panics on an error of a constructor that fails only for invalid options.
func must[T any](v T, err error) T {
	if err != nil {
		panic("node: " + err.Error())
	}
	return v
}

// packReport marshals and compresses a report. The histogram bounds are much the same in each
// class, so compression removes most of the size.
func packReport(r *peerpb.Report) (*peerpb.Packed, error) {
	b, err := proto.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("node: encode a report: %w", err)
	}
	if z := reportEncoder.EncodeAll(b, nil); len(z) < len(b) {
		return &peerpb.Packed{Data: z, Zstd: true}, nil
	}
	return &peerpb.Packed{Data: b}, nil
}

func unpackReport(p *peerpb.Packed) (*peerpb.Report, error) {
	data := p.GetData()
	if p.GetZstd() {
		var err error
		if data, err = reportDecoder.DecodeAll(data, nil); err != nil {
			return nil, fmt.Errorf("%w: %w", errBadReport, err)
		}
	}
	if len(data) > maxReportBytes {
		return nil, fmt.Errorf("%w: %d bytes after unpacking", errBadReport, len(data))
	}
	r := new(peerpb.Report)
	if err := proto.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%w: %w", errBadReport, err)
	}
	return r, nil
}

// reportOf converts a node's report. Histogram counts without a matching bound are dropped.
func reportOf(vm string, a *peerpb.Report) query.NodeReport {
	out := query.NodeReport{VM: vm, Classes: make(map[string]query.ClassCounts, len(a.Classes))}
	for _, c := range a.Classes {
		counts := query.ClassCounts{
			Calls: c.Answered, Failed: c.Failed, Within: c.Within,
			ShedBy: make(map[string]uint64, len(c.Refused)),
		}
		for _, r := range c.Refused {
			counts.ShedBy[r.Reason] += r.Calls
		}
		for i := range min(len(c.AtMostUs), len(c.Calls)) {
			atMost := time.Duration(c.AtMostUs[i]) * time.Microsecond
			counts.Latency = append(counts.Latency, query.LatencyCount{AtMost: atMost, Calls: c.Calls[i]})
		}
		out.Classes[c.Class] = counts
	}
	for _, e := range a.Ejections {
		out.Ejected = append(out.Ejected, query.Ejection{
			Service: e.Service, VM: e.Vm, Instance: e.Instance, FailedPercent: e.FailedPercent,
		})
	}
	return out
}

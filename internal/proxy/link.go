package proxy

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"
)

// Bounds of what large answers may take of a VM's link.
const (
	// bulkFrom is how much of an answer goes out at once; what is behind it is
	// bulk. Answers to lookups have a few kilobytes.
	bulkFrom = 16 << 10
	// bulkPart is the part of the link that bulk may fill. The rest carries
	// small answers and the nodes' own messages, which take about a tenth.
	bulkPart = 0.8
	// bulkChunk is what is written of bulk in one go: at the slowest links in
	// use, of 5 Mbit/s, 7 ms.
	bulkChunk = 4 << 10
)

// Link paces the large answers that leave this VM.
//
// It guards small answers against large ones. A few downloads at once fill the
// queue in front of a slow link, and every lookup behind them is as late as they
// are: at 5 Mbit/s and 85% of use, by some hundred milliseconds for each call. With
// the bulk held back here, the queue in front of the link stays short.
type Link struct{ bulk *rate.Limiter }

// NewLink returns the pace of a link, or nil, which paces nothing, for zero.
func NewLink(mbps float64) *Link {
	if mbps <= 0 {
		return nil
	}
	const bitsPerByte, mega = 8, 1e6
	return &Link{rate.NewLimiter(rate.Limit(mbps*mega/bitsPerByte*bulkPart), bulkChunk)}
}

// pace returns a writer of one answer over the link.
func (l *Link) pace(ctx context.Context, w http.ResponseWriter) http.ResponseWriter {
	if l == nil {
		return w
	}
	return &pacedWriter{ResponseWriter: w, link: l, ctx: ctx}
}

// pacedWriter holds the bulk of an answer to the pace of its link.
type pacedWriter struct {
	http.ResponseWriter
	link *Link
	ctx  context.Context
	sent int
}

// Unwrap is for http.ResponseController.
func (p *pacedWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// Flush implements http.Flusher.
func (p *pacedWriter) Flush() {
	if f, ok := p.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Write implements io.Writer. Its error is that of the answer's reader, or that
// the reader has left.
func (p *pacedWriter) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		part := b[done:min(done+bulkChunk, len(b))]
		if p.sent >= bulkFrom {
			if err := p.link.bulk.WaitN(p.ctx, len(part)); err != nil {
				return done, err
			}
		}
		n, err := p.ResponseWriter.Write(part)
		done += n
		p.sent += n
		if err != nil {
			return done, err
		}
		if p.sent >= bulkFrom {
			p.Flush()
		}
	}
	return done, nil
}

package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// Bounds on the use of a VM's link by large answers.
const (
	// bulkThreshold is how many bytes of an answer are sent at once; the rest is bulk. Answers to
	// lookups have a few kilobytes.
	bulkThreshold = 16 << 10
	// bulkShare is the share of the link that bulk may fill together with small answers. Beyond
	// three quarters the queue in front of a link grows quickly.
	bulkShare = 0.75
	// smallAnswerMbps is the bandwidth reserved for small answers and the nodes' own messages, in
	// Mbit/s: about 60 calls a second. minBulkShare is the share of the link that bulk gets in any
	// case.
	smallAnswerMbps = 1.0
	minBulkShare    = 0.3
	// bulkChunkBytes is the size of one write of bulk: 7 ms on the slowest links in use, of 5
	// Mbit/s.
	bulkChunkBytes = 4 << 10
)

// bytesPerMbit is the number of bytes in a megabit.
const bytesPerMbit = 1e6 / 8

// The bulk of one answer gets the share of the receiving VM's link that delivers it within
// answerTimeShare of its class's target latency. That share is at least minAnswerShare, so that the
// answer ends at all, and at most maxAnswerShare, so that other traffic gets through.
const (
	answerTimeShare = 0.4
	minAnswerShare  = 0.3
	maxAnswerShare  = 0.7
)

// maxLinkWaitShare is the share of a class's target latency that a large answer may wait for the
// link. The rest is left for the run and the network.
const maxLinkWaitShare = 0.25

// LinkPacer paces the large answers that leave this VM, and refuses calls whose answers it could
// not carry in time.
//
// It protects small answers from large ones. A few concurrent downloads fill the queue in front of
// a slow link, and delay every lookup behind them: at 5 Mbit/s and 85% utilization, by some hundred
// milliseconds for each call. Pacing the bulk here keeps that queue short. The wait here is bounded
// as well: a download that would be late is refused before it runs, while another VM's link may
// have room.
type LinkPacer struct {
	mbps float64
	bulk *rate.Limiter
	// pendingBytes is the bulk that is still to be sent, including reservations for expected
	// answers.
	pendingBytes atomic.Int64
	answerSizes  sync.Map // class to *answerSize
}

// answerSize is the moving average of the size of a class's answers, in bytes.
type answerSize struct{ mean atomic.Int64 }

// answerSizeWeight is the divisor by which one answer changes that average.
const answerSizeWeight = 8

// NewLinkPacer returns a pacer for a link of the given rate in Mbit/s. For zero it returns nil,
// which paces nothing.
func NewLinkPacer(mbps float64) *LinkPacer {
	if mbps <= 0 {
		return nil
	}
	bulk := max(mbps*bulkShare-smallAnswerMbps, mbps*minBulkShare)
	return &LinkPacer{mbps: mbps, bulk: rate.NewLimiter(rate.Limit(bulk*bytesPerMbit), bulkChunkBytes)}
}

// Wait returns how long a large answer that started now would wait.
func (l *LinkPacer) Wait() time.Duration {
	if l == nil {
		return 0
	}
	return time.Duration(float64(l.pendingBytes.Load()) / float64(l.bulk.Limit()) * float64(time.Second))
}

// reserve reserves room for an answer of the class, and returns the reserved bytes. It refuses the
// call if the answer would wait too long.
func (l *LinkPacer) reserve(t *config.Target) (int64, *call.Refusal) {
	if l == nil {
		return 0, nil
	}
	n := l.size(t.Name).mean.Load() - bulkThreshold
	if n <= 0 {
		return 0, nil
	}
	wait := l.Wait()
	if within := t.AnswerWithin(); within > 0 && wait > time.Duration(maxLinkWaitShare*float64(within)) {
		return 0, refuse(call.ReasonLinkFull, wait, "the VM's link has no room in time")
	}
	l.pendingBytes.Add(n)
	return n, nil
}

func (l *LinkPacer) size(class string) *answerSize {
	if s, ok := l.answerSizes.Load(class); ok {
		return s.(*answerSize)
	}
	s, _ := l.answerSizes.LoadOrStore(class, new(answerSize))
	return s.(*answerSize)
}

// adjust replaces the expected size of an answer by its actual size, and returns the bytes that are
// now reserved.
func (l *LinkPacer) adjust(class string, expected, size int64) int64 {
	if l == nil {
		return 0
	}
	s := &l.size(class).mean
	if old := s.Load(); old == 0 {
		s.Store(size)
	} else {
		s.Store(old + (size-old)/answerSizeWeight)
	}
	actual := max(size-bulkThreshold, 0)
	l.pendingBytes.Add(actual - expected)
	return actual
}

// free releases a reservation.
func (l *LinkPacer) free(reserved int64) {
	if l != nil {
		l.pendingBytes.Add(-reserved)
	}
}

// pace returns a writer that paces one answer of a class to a VM. remoteMbps is the rate of that
// VM's link in Mbit/s, zero if unknown. size is that of the answer in bytes, negative if unknown.
func (l *LinkPacer) pace(ctx context.Context, w http.ResponseWriter, t *config.Target, remoteMbps float64, size int64) http.ResponseWriter {
	if l == nil {
		return w
	}
	p := &pacedWriter{ResponseWriter: w, link: l, ctx: ctx}
	if remoteMbps > 0 {
		p.answerLimit = rate.NewLimiter(rate.Limit(answerRate(t, remoteMbps*bytesPerMbit, size)), bulkChunkBytes)
	}
	return p
}

// answerRate returns the rate of one answer over a link; both rates are in bytes per second.
func answerRate(t *config.Target, link float64, size int64) float64 {
	needed := 0.0
	if within := t.AnswerWithin(); within > 0 && size > 0 {
		needed = float64(size) / (answerTimeShare * within.Seconds())
	}
	return min(max(needed, link*minAnswerShare), link*maxAnswerShare)
}

// pacedWriter limits the bulk of an answer to the rate of its link.
type pacedWriter struct {
	http.ResponseWriter
	link        *LinkPacer
	answerLimit *rate.Limiter // for this answer alone, or nil
	ctx         context.Context
	sent        int
}

// Unwrap supports http.ResponseController.
func (p *pacedWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// Flush implements http.Flusher.
func (p *pacedWriter) Flush() {
	if f, ok := p.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}

// Write implements io.Writer. It returns the error of the underlying writer, or that of the context
// if the reader has left.
func (p *pacedWriter) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		part := b[done:min(done+bulkChunkBytes, len(b))]
		if p.sent >= bulkThreshold {
			if err := p.wait(len(part)); err != nil {
				return done, err
			}
		}
		n, err := p.ResponseWriter.Write(part)
		done += n
		p.sent += n
		if err != nil {
			return done, err
		}
		if p.sent >= bulkThreshold {
			p.Flush()
		}
	}
	return done, nil
}

// wait waits until n bytes of bulk may be sent.
func (p *pacedWriter) wait(n int) error {
	if p.answerLimit != nil {
		if err := p.answerLimit.WaitN(p.ctx, n); err != nil {
			return err
		}
	}
	return p.link.bulk.WaitN(p.ctx, n)
}

// headerLinkRate is the header with the rate of the entry node's link, in Mbit/s.
const headerLinkRate = "Marlpass-Link-Mbps"

// unpacedMbps is the rate from which a link needs no pacing: the largest buffered answers, of 1
// MiB, take some 40 ms.
const unpacedMbps = 200

// setLinkRate adds the rate of this VM's link to a call to another node.
func (l *LinkPacer) setLinkRate(h http.Header) {
	if l != nil && l.mbps < unpacedMbps {
		h[headerLinkRate] = []string{strconv.FormatFloat(l.mbps, 'f', -1, 64)}
	}
}

// parseLinkRate returns the rate set by setLinkRate, or zero.
func parseLinkRate(h http.Header) float64 {
	value := first(h, headerLinkRate)
	if value == "" {
		return 0 // the header is usually absent, and an error costs an allocation
	}
	mbps, err := strconv.ParseFloat(value, 64)
	if err != nil || !(mbps > 0) {
		return 0
	}
	return mbps
}

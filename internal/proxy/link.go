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

// Bounds of what large answers may take of a VM's link.
const (
	// bulkFrom is how much of an answer goes out at once; what is behind it is
	// bulk. Answers to lookups have a few kilobytes.
	bulkThreshold = 16 << 10
	// bulkPart is the part of the link that bulk may fill together with small
	// answers. Beyond three quarters the queue in front of a link grows quickly.
	bulkShare = 0.75
	// smallMbps is what small answers and the nodes' own messages are taken to
	// need, in Mbit/s: about those of 60 calls a second. bulkLeast is the part of
	// the link that bulk gets in any case.
	smallAnswerMbps = 1.0
	minBulkShare    = 0.3
	// bulkChunk is what is written of bulk in one go: at the slowest links in
	// use, of 5 Mbit/s, 7 ms.
	bulkChunkBytes = 4 << 10
)

// bytesPerMbit is a megabit in bytes.
const bytesPerMbit = 1e6 / 8

// The bulk of one answer takes the part of the receiving VM's link that brings it
// there within answerAim of its class's answer time, but at least answerLeast, so
// that it ends at all, and at most answerMost, so that what else arrives there gets
// through.
const (
	answerTimeShare = 0.4
	minAnswerShare  = 0.3
	maxAnswerShare  = 0.7
)

// linkPart is the part of a class's answer time that a large answer may wait for
// the link. Behind it there is still the run itself and the way.
const maxLinkWaitShare = 0.25

// LinkPacer paces the large answers that leave this VM, and refuses calls whose answers
// it could not carry in time.
//
// It guards small answers against large ones. A few downloads at once fill the
// queue in front of a slow link, and every lookup behind them is as late as they
// are: at 5 Mbit/s and 85% of use, by some hundred milliseconds for each call. With
// the bulk held back here, the queue in front of the link stays short. What waits
// here is bounded as well: a download that would come too late is turned away
// before it runs, while another VM's link may have room.
type LinkPacer struct {
	mbps float64
	bulk *rate.Limiter
	// waiting are the bytes of bulk that are to go out, expected ones included.
	pendingBytes atomic.Int64
	answerSizes  sync.Map // class to *linkSize
}

// linkSize is the mean size of a class's answers, in bytes.
type answerSize struct{ mean atomic.Int64 }

// linkSizeWeight is the weight of one answer in that mean, as a divisor.
const answerSizeWeight = 8

// NewLinkPacer returns the pace of a link, or nil, which paces nothing, for zero.
func NewLinkPacer(mbps float64) *LinkPacer {
	if mbps <= 0 {
		return nil
	}
	bulk := max(mbps*bulkShare-smallAnswerMbps, mbps*minBulkShare)
	return &LinkPacer{mbps: mbps, bulk: rate.NewLimiter(rate.Limit(bulk*bytesPerMbit), bulkChunkBytes)}
}

// Wait returns how long a large answer that came now would wait.
func (l *LinkPacer) Wait() time.Duration {
	if l == nil {
		return 0
	}
	return time.Duration(float64(l.pendingBytes.Load()) / float64(l.bulk.Limit()) * float64(time.Second))
}

// expect reserves room for an answer of the class, and returns what was reserved.
// A refusal means that the answer would wait too long.
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

// settle replaces what was expected of an answer by its real size, and returns what
// is now reserved.
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

// free gives up a reservation.
func (l *LinkPacer) free(reserved int64) {
	if l != nil {
		l.pendingBytes.Add(-reserved)
	}
}

// pace returns a writer of one answer of a class over the link to a VM whose own
// link has the given rate in Mbit/s, zero if it is not known. Size is that of the
// answer, or negative.
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

// answerRate returns the pace of one answer, and takes and returns bytes a second.
func answerRate(t *config.Target, link float64, size int64) float64 {
	needed := 0.0
	if within := t.AnswerWithin(); within > 0 && size > 0 {
		needed = float64(size) / (answerTimeShare * within.Seconds())
	}
	return min(max(needed, link*minAnswerShare), link*maxAnswerShare)
}

// pacedWriter holds the bulk of an answer to the pace of its link.
type pacedWriter struct {
	http.ResponseWriter
	link        *LinkPacer
	answerLimit *rate.Limiter // of this answer, or nil
	ctx         context.Context
	sent        int
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

// wait waits until n bytes of bulk may go out.
func (p *pacedWriter) wait(n int) error {
	if p.answerLimit != nil {
		if err := p.answerLimit.WaitN(p.ctx, n); err != nil {
			return err
		}
	}
	return p.link.bulk.WaitN(p.ctx, n)
}

// headerLinkRate tells a destination the rate of the entry node's link, in Mbit/s.
const headerLinkRate = "Marlpass-Link-Mbps"

// fastMbps is the rate from which a link needs no pacing: the largest answers that
// are taken in whole, of a megabyte, go over it in some 40 ms.
const unpacedMbps = 200

// setRate notes the rate of this VM's link in a call to another node.
func (l *LinkPacer) setLinkRate(h http.Header) {
	if l != nil && l.mbps < unpacedMbps {
		h[headerLinkRate] = []string{strconv.FormatFloat(l.mbps, 'f', -1, 64)}
	}
}

// parseRate returns the rate that setRate noted, or zero.
func parseLinkRate(h http.Header) float64 {
	value := first(h, headerLinkRate)
	if value == "" {
		return 0 // unknown links are the rule, and an error costs an allocation
	}
	mbps, err := strconv.ParseFloat(value, 64)
	if err != nil || !(mbps > 0) {
		return 0
	}
	return mbps
}

package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Bounds on request bodies kept for another attempt.
const (
	maxBufferedBody  = 64 << 10
	maxBufferedTotal = 32 << 20
)

// keptBodies bounds the memory of all kept bodies of a node.
type bodyBudget struct{ used atomic.Int64 }

func (k *bodyBudget) reserve(n int64) bool {
	if k.used.Add(n) <= maxBufferedTotal {
		return true
	}
	k.used.Add(-n)
	return false
}

func (k *bodyBudget) free(n int64) { k.used.Add(-n) }

// body is the body of a request on its way. A small one of known length is
// read whole first, and can be sent again. Another streams, and can be sent
// again only as long as nothing of it was read.
type body struct {
	length   int64
	buffered []byte // nil when it streams
	stream   *streamBody
	budget   *bodyBudget
}

// streamBody is a caller's body that is passed on as it comes. It notes whether
// anything was asked of it.
type streamBody struct {
	io.ReadCloser
	caller      *http.ResponseController
	readStarted atomic.Bool
	ended       atomic.Bool
	// room is how many bytes more may come; negative for any number.
	remaining int64

	mu       sync.Mutex
	sentOn   *conn // the connection that the body goes out on now; nil before the first
	finished bool  // the caller's connection may serve another call
	aborted  bool  // abort has ended the reading
}

// newStreamBody lets the answer begin before the body has ended.
func newStreamBody(w http.ResponseWriter, r *http.Request, maxBytes int64) *streamBody {
	c := http.NewResponseController(w)
	// HTTP/2 needs no such leave and says so with an error.
	_ = c.EnableFullDuplex()
	s := &streamBody{ReadCloser: r.Body, caller: c, remaining: -1}
	if maxBytes > 0 {
		s.remaining = maxBytes
	}
	return s
}

// errBodyTooLong ends a body of unknown length that grew past its bound. The
// transport gives it back as the error of the attempt, which is therefore not taken
// for the crash of a backend server.
var errBodyTooLong = errors.New("proxy: the body is longer than callers may send")

// Read marks the body as used before it reads.
func (s *streamBody) Read(p []byte) (int, error) {
	s.readStarted.Store(true)
	n, err := s.ReadCloser.Read(p)
	if err != nil && err != io.EOF && s.wasAborted() {
		err = errBodyConnBroke
	}
	if s.remaining >= 0 {
		if int64(n) > s.remaining {
			// The end of the body is still to come: the caller's connection
			// cannot serve another call.
			return 0, errBodyTooLong
		}
		s.remaining -= int64(n)
	}
	if err != nil {
		s.ended.Store(true)
	}
	return n, err
}

// errBodyCut ends a body whose connection onwards broke. Without a name of its own the logs
// would show the time-out by which abort ends the read, as if the caller had been too slow.
var errBodyConnBroke = errors.New("proxy: the connection on which the body was sent broke")

func (s *streamBody) wasAborted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted
}

// sendOn notes that the body goes out on c from now on, and on no other connection.
func (s *streamBody) sendOn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentOn = c
}

// connClosed ends the reading if the body was going out on c.
//
// It guards an upload that an endpoint refused unread against that endpoint's
// connection. The transport closes it a while after the refusal was read, when the body
// may be on its way to the next endpoint. Ending the read then would cut the upload in its
// middle, and its caller would be told "may have run" of a call that nothing was wrong with.
func (s *streamBody) connClosed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sentOn == c {
		s.abortLocked()
	}
}

// abort ends a read that waits for the caller.
//
// It guards against a call that hangs: when the connection onwards breaks, the
// transport's RoundTrip waits for its writer, and that waits for a caller who
// sends nothing more. The caller would never learn that its call is lost. The
// end of the connection onwards therefore ends the read too.
//
// It does nothing once the call is over. The transport closes a connection on
// which the rest of a body was to go a while after the answer was passed on.
// The caller's connection may serve its next call by then, which the deadline
// would cut off.
func (s *streamBody) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortLocked()
}

func (s *streamBody) abortLocked() {
	if s.finished || !s.readStarted.Load() || s.ended.Load() {
		return
	}
	s.aborted = true
	_ = s.caller.SetReadDeadline(time.Unix(1, 0))
}

// leave ends the power of abort. It must be called before the handler returns.
func (s *streamBody) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
}

// Close leaves the caller's body open: net/http closes it when the handler
// returns, and another attempt may still need it.
func (s *streamBody) Close() error { return nil }

// takeBody prepares the body of r, of which no more than most bytes are read
// unless most is zero. Its error is that of the caller's
// connection: the body came incomplete, or not before the call's deadline.
//
// It guards against a caller that falls silent before the end of a small body.
// Nothing else ends the read: the call would hold its memory for ever, and a
// stop of the node would wait for it.
func prepareBody(w http.ResponseWriter, r *http.Request, budget *bodyBudget, deadline time.Time, maxBytes int64) (body, error) {
	switch {
	case r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0:
		return body{}, nil
	case r.ContentLength < 0 || r.ContentLength > maxBufferedBody || !budget.reserve(r.ContentLength):
		return body{length: r.ContentLength, stream: newStreamBody(w, r, maxBytes)}, nil
	}
	b := body{length: r.ContentLength, buffered: make([]byte, r.ContentLength), budget: budget}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(deadline)
	if _, err := io.ReadFull(r.Body, b.buffered); err != nil {
		b.release()
		return body{}, err
	}
	// Or net/http, which reads on to see the caller leave, would take the
	// deadline for that.
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}

// refuseBody returns the refusal of a call whose body did not come in time. It
// breaks off when the caller's connection broke: there is nobody to tell.
func refuseIncompleteBody(err error) *call.Refusal {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	return refuse(call.ReasonExpired, 0, "the body did not come in time")
}

// open returns the body for one attempt.
func (b *body) open() (io.ReadCloser, int64) {
	switch {
	case b.stream != nil:
		return b.stream, b.length
	case b.buffered != nil:
		return io.NopCloser(bytes.NewReader(b.buffered)), b.length
	}
	return http.NoBody, 0
}

// reusable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.stream == nil || !b.stream.readStarted.Load() }

// streams reports whether the body is passed on as it comes.
func (b *body) streams() bool { return b.stream != nil }

// answering must be called before the header of an answer is written.
//
// It guards the caller's next call. When a handler leaves a part of a body
// unread after EnableFullDuplex, net/http reads that part once the answer is
// out, and then breaks the connection by a panic of its own ("invalid concurrent
// Body.Read call"). A caller that was told nothing has sent its next call by
// then, and cannot know whether it ran. HTTP/2 has no such connection.
func (b *body) closeUnlessRead(r *http.Request, h http.Header) {
	if b.stream != nil && !b.stream.ended.Load() && r.ProtoMajor == 1 {
		h["Connection"] = closeValue
	}
}

var closeValue = []string{"close"}

// noRoom reports whether the body streams only because the memory for kept
// bodies is used up.
func (b *body) overBudget() bool { return b.streams() && b.length >= 0 && b.length <= maxBufferedBody }

// abort breaks the caller's connection off, so that a cut answer does not look
// whole. net/http reads on in an unfinished request body before it closes the
// connection, for which a caller that sends nothing more would wait for ever;
// ending the read first prevents that.
func (b *body) abort() {
	if b.stream != nil {
		b.stream.abort()
	}
	panic(http.ErrAbortHandler)
}

// release ends the use of the body by its call, and gives the memory of a kept
// one back to the budget. The bytes themselves are left to the collector: the
// transport may still read them.
func (b *body) release() {
	if b.stream != nil {
		b.stream.finish()
	}
	if b.budget != nil {
		b.budget.free(b.length)
		b.budget = nil
	}
}

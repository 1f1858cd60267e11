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

	"github.com/marlpass/marlpass/internal/budget"
	"github.com/marlpass/marlpass/internal/call"
)

// Bounds on request bodies buffered for retries, in bytes.
const (
	maxBufferedBody  = 64 << 10
	maxBufferedTotal = 32 << 20
)

// bodyBudget bounds the memory of all buffered bodies of a node: by memory, or else by maxBufferedTotal.
type bodyBudget struct {
	memory *budget.Memory
	used   atomic.Int64
}

func (k *bodyBudget) reserve(n int64) bool {
	if k.memory != nil {
		return k.memory.Reserve(budget.Bodies, n)
	}
	if k.used.Add(n) <= maxBufferedTotal {
		return true
	}
	k.used.Add(-n)
	return false
}

func (k *bodyBudget) free(n int64) {
	if k.memory != nil {
		k.memory.Release(budget.Bodies, n)
		return
	}
	k.used.Add(-n)
}

// body is a request body. A small body of known length is buffered first and can be sent again. Any
// other body streams, and can be sent again only as long as nothing of it was read.
type body struct {
	length   int64
	buffered []byte // nil if it streams
	stream   *streamBody
	budget   *bodyBudget
}

// streamBody is a caller's body that is forwarded while it arrives. It records whether reading has
// started.
type streamBody struct {
	io.ReadCloser
	caller      *http.ResponseController
	readStarted atomic.Bool
	ended       atomic.Bool
	// remaining is how many more bytes the caller may send; negative means unlimited.
	remaining int64

	mu       sync.Mutex
	sentOn   *conn // the connection that the body is sent on; nil before the first attempt
	finished bool  // the call is over; the caller's connection may serve another one
	aborted  bool  // abort has interrupted the reading
}

// newStreamBody returns the body of r as a stream, and lets the answer begin before the body has
// ended.
func newStreamBody(w http.ResponseWriter, r *http.Request, maxBytes int64) *streamBody {
	c := http.NewResponseController(w)
	// HTTP/2 is always full duplex and returns an error here.
	_ = c.EnableFullDuplex()
	s := &streamBody{ReadCloser: r.Body, caller: c, remaining: -1}
	if maxBytes > 0 {
		s.remaining = maxBytes
	}
	return s
}

// errBodyTooLong ends a body of unknown length that exceeds its bound. The transport returns it as
// the error of the attempt, which is therefore not counted as a crash of the backend server.
var errBodyTooLong = errors.New("proxy: the body is longer than callers may send")

// Read marks the body as read before it reads.
func (s *streamBody) Read(p []byte) (int, error) {
	s.readStarted.Store(true)
	n, err := s.ReadCloser.Read(p)
	if err != nil && err != io.EOF && s.wasAborted() {
		err = errBodyConnBroke
	}
	if s.remaining >= 0 {
		if int64(n) > s.remaining {
			// The rest of the body is still unread, so the caller's connection
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

// errBodyConnBroke ends a body whose upstream connection broke. Without it the logs would show the
// timeout by which abort interrupts the read, as if the caller had been too slow.
var errBodyConnBroke = errors.New("proxy: the connection on which the body was sent broke")

func (s *streamBody) wasAborted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted
}

// sendOn records that the body is sent on c from now on, and on no other connection.
func (s *streamBody) sendOn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentOn = c
}

// connClosed aborts the reading if the body was being sent on c.
//
// The check of c protects an upload that an endpoint refused unread. The transport closes the
// connection to that endpoint some time after the refusal was read, when the body may be on its way
// to the next endpoint. Aborting the read then would cut the upload, and its caller would get "may
// have run" for a call that nothing was wrong with.
func (s *streamBody) connClosed(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sentOn == c {
		s.abortLocked()
	}
}

// abort interrupts a read that waits for the caller.
//
// It guards against a call that hangs: when the upstream connection breaks, the transport's
// RoundTrip waits for its writer, which waits for a caller that sends nothing more. The caller
// would never get an answer.
//
// It does nothing once the call is over. The transport closes a connection with an unsent rest of a
// body some time after the answer was relayed. By then the caller's connection may serve its next
// call, which the read deadline would break.
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

// finish disables abort. It must be called before the handler returns.
func (s *streamBody) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
}

// Close leaves the caller's body open: net/http closes it when the handler returns, and another
// attempt may still need it.
func (s *streamBody) Close() error { return nil }

// prepareBody prepares the body of r, and buffers it if it is small. A streamed body may have at
// most maxBytes bytes, unless that is zero. The error is that of the caller's connection: the body
// was incomplete or did not arrive before the call's deadline.
//
// The read deadline guards against a caller that stops sending in a small body. Nothing else ends
// that read: the call would hold its memory forever, and a shutdown of the node would wait for it.
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
	// Otherwise net/http, which reads on to detect that the caller leaves, would
	// mistake the deadline for that.
	_ = c.SetReadDeadline(time.Time{})
	return b, nil
}

// refuseIncompleteBody returns the refusal of a call whose body did not arrive in time. It aborts
// the handler if the caller's connection broke.
func refuseIncompleteBody(err error) *call.Refusal {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	return refuse(call.ReasonExpired, 0, "the body did not come in time")
}

// open returns the body for one attempt, and its length.
func (b *body) open() (io.ReadCloser, int64) {
	switch {
	case b.stream != nil:
		return b.stream, b.length
	case b.buffered != nil:
		return io.NopCloser(bytes.NewReader(b.buffered)), b.length
	}
	return http.NoBody, 0
}

// replayable reports whether the body can be sent again.
func (b *body) replayable() bool { return b.stream == nil || !b.stream.readStarted.Load() }

// streams reports whether the body is forwarded while it arrives.
func (b *body) streams() bool { return b.stream != nil }

// closeUnlessRead announces the end of an HTTP/1.1 connection whose request body was not read to
// its end. It must be called before the header of an answer is written.
//
// It guards the caller's next call. If a handler leaves a part of a body unread after
// EnableFullDuplex, net/http reads that part after the answer, and then breaks the connection with
// a panic of its own ("invalid concurrent Body.Read call"). A caller that was not warned has sent
// its next call by then, and cannot know whether it ran. HTTP/2 does not have this problem.
func (b *body) closeUnlessRead(r *http.Request, h http.Header) {
	if b.stream != nil && !b.stream.ended.Load() && r.ProtoMajor == 1 {
		h["Connection"] = closeValue
	}
}

var closeValue = []string{"close"}

// overBudget reports whether the body streams only because the memory for buffered bodies is used
// up.
func (b *body) overBudget() bool { return b.streams() && b.length >= 0 && b.length <= maxBufferedBody }

// abort breaks the caller's connection, so that a truncated answer does not look complete. Before
// net/http closes the connection it reads the rest of an unfinished request body, for which a
// caller that sends nothing more would wait forever; interrupting the read first prevents that.
func (b *body) abort() {
	if b.stream != nil {
		b.stream.abort()
	}
	panic(http.ErrAbortHandler)
}

// release ends the use of the body by its call, and returns the memory of a buffered body to the
// budget. The buffer itself is left to the garbage collector, as the transport may still read it.
func (b *body) release() {
	if b.stream != nil {
		b.stream.finish()
	}
	if b.budget != nil {
		b.budget.free(b.length)
		b.budget = nil
	}
}

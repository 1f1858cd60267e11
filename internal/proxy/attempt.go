package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
	"github.com/marlpass/marlpass/internal/config"
)

// Errors of an attempt that may have run.
var (
	// errAnswerTimeout means that the answer did not begin within the timeout.
	errAnswerTimeout = errors.New("proxy: no answer within the bound")
	// errStalled means that no part of the answer's body arrived within the stall timeout.
	errStalled = errors.New("proxy: the answer stalled")
)

// attempt is one request to one address. It is in use from send until its answer is closed or send
// fails, and is then pooled. The transport may keep a reference to trace, whose fields never change.
type attempt struct {
	trace httptrace.ClientTrace
	timer *time.Timer
	// answer is the body of the answer once that has begun.
	answer answerBody

	mu         sync.Mutex // guards the fields below
	up         *upstream
	method     string
	body       *streamBody // nil if the body is buffered
	conn       *conn
	generation uint64
	replay     bool
	timedOut   bool
	finished   bool
}

var attempts = sync.Pool{New: func() any {
	a := &attempt{finished: true}
	a.trace.GotConn = a.gotConn
	a.timer = time.AfterFunc(time.Hour, a.expire)
	a.timer.Stop()
	a.answer.attempt = a
	return a
}}

// newAttempt returns an attempt of a method whose answer must begin within timeout.
func newAttempt(up *upstream, method string, b *streamBody, timeout time.Duration) *attempt {
	a := attempts.Get().(*attempt)
	a.mu.Lock()
	a.up, a.method, a.body = up, method, b
	a.conn, a.generation = nil, 0
	a.replay, a.timedOut, a.finished = false, false, false
	// A stale true would make finish pool the attempt while expire still runs.
	a.answer.timerStopped = false
	a.mu.Unlock()
	a.timer.Reset(timeout)
	return a
}

// finish ends the attempt. It must be called once; a must not be used afterwards.
func (a *attempt) finish() {
	stopped := a.timer.Stop()
	a.mu.Lock()
	stopped = stopped || a.answer.timerStopped
	a.finished = true
	a.answer.ReadCloser = nil
	a.mu.Unlock()
	if stopped {
		attempts.Put(a)
	}
	// Otherwise expire is running, and must not act on a later call: a isn't pooled.
}

// gotConn is called by the transport with the connection that it chose, before
// it writes.
//
// It prevents the transport's own replay. When a reused connection breaks before the answer begins,
// net/http resends a request without a body on another connection if its method is GET, HEAD,
// OPTIONS or TRACE, or if it has an Idempotency-Key header: exactly the calls that must run at most
// once. The backend server would run the request twice. A request may therefore use a second
// connection only if nothing was written to the first; otherwise writes to the second one are
// blocked before the transport begins, and the attempt ends as one that may have run.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("proxy: the connection was not opened by this upstream")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	generation := c.assign(a.body)
	if a.conn != nil && !a.conn.blockWrites(a.generation) {
		a.replay = true
		c.replay.Store(true)
		c.blockWrites(generation)
		return
	}
	a.conn, a.generation = c, generation
	if c.Begin(a.method) != nil {
		// Bytes behind the last answer would be taken for the next one. The request goes out on
		// another connection.
		c.blockWrites(generation)
	}
	if a.timedOut {
		c.closeFor(generation)
	}
}

// blockWrites reports whether no byte of the attempt was written, and if so prevents later writes.
func (a *attempt) blockWrites() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.replay && (a.conn == nil || a.conn.blockWrites(a.generation))
}

// expire ends the attempt when its timeout has passed by closing its connection. An attempt without
// a connection is ended by the dial deadline.
func (a *attempt) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.finished {
		return
	}
	a.timedOut = true
	if a.conn != nil {
		a.conn.closeFor(a.generation)
	}
	a.up.closeIdle()
}

// deadlineSkew is how much earlier a call's deadline may pass at the previous node. Each node counts
// the deadline from when it reads the call, so the previous node is ahead by the latency between
// two regions, or by a scheduling delay on a busy VM.
const deadlineSkew = 100 * time.Millisecond

// cancelled is called when the previous node or the caller cancelled the call. If that happened
// within deadlineSkew of the timeout here, it counts as a timeout: the idle connections to the same
// address are closed.
//
// Otherwise, when connections to a backend server went silent and the entry node always times out
// first, the other idle connections stay in the pool and every later call waits until its deadline.
func (a *attempt) cancelled(timeout time.Time) {
	if time.Until(timeout) > deadlineSkew {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.up.closeIdle()
}

// closeConn closes the connection of an attempt whose answer has begun, so that no later call reads
// the rest of that answer.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.closeFor(a.generation)
	}
}

// connCalls returns how many calls have used the attempt's connection.
func (a *attempt) connCalls() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.generation / connGeneration
}

// expired reports whether a timeout ended the attempt.
func (a *attempt) expired() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.timedOut
}

// outbound is a request to be forwarded.
type outbound struct {
	in            *http.Request // source of the method, URL and other fields
	header        http.Header
	body          *body
	addr          string
	vm            string        // VM of the node at addr; empty for a backend server
	answerTimeout time.Duration // until the answer begins
	stallTimeout  time.Duration // between two parts of the answer
	newConn       bool          // use a connection that no other call uses; for backend servers only
	extra         AttemptHeaders
}

// transportRequest holds the parts of one attempt that the transport may read at any later time. It
// is a single allocation and is never reused.
type transportRequest struct {
	attemptContext
	url    url.URL
	values [len(outbound{}.extra)][1]string
}

// answer is the result of an attempt. Exactly one of resp, refusal and err is set.
type answer struct {
	resp    *http.Response
	refusal *call.Refusal // the attempt was not run
	err     error         // the attempt may have run
	// expired is set if the attempt timed out.
	expired bool
	load    Load
	// slotsFree is set if another node marked its refusal with headerSlotsFree.
	slotsFree bool
	// linkWait is how long large answers wait for the link of the destination's VM.
	linkWait time.Duration
	// advertised is what the endpoint advertises, as far as its node knows.
	advertised Advertised
	// expectedRun is how long calls of the class run at the endpoint; zero if its backend server
	// states no slowdown.
	expectedRun completion.Run
	// took is the time spent at the destination, by part.
	took destinationTimes
	// held is the execution of the call at this node, until its answer has been relayed; nil if
	// another node ran it.
	held *execution
	// unrelayed describes the backend server's answer behind refusal or err; nil without one.
	unrelayed *unrelayedAnswer
}

// abort closes an answer that must not be relayed, and its connection.
func (a *answer) abort() {
	if b, ok := a.resp.Body.(*answerBody); ok {
		b.attempt.closeConn()
	}
	a.resp.Body.Close()
}

// endBodyAt bounds the time in which the answer's body is read.
func (a *answer) endBodyAt(t time.Time) {
	if b, ok := a.resp.Body.(*answerBody); ok {
		b.endsAt = t
	}
}

// outcome returns whether the attempt ran, did not run, or may have run.
func (a *answer) outcome() call.Outcome {
	switch {
	case a.refusal != nil:
		return call.NotRun
	case a.resp != nil:
		return call.Ran
	}
	return call.Unknown
}

// reached reports whether a backend server received or may have received the attempt.
func (a *answer) reached() bool {
	return a.refusal == nil || a.refusal.Reason == call.ReasonBackend
}

// rejectedByBackend reports whether a backend server may have answered that it didn't run the attempt.
//
// It may send that answer a second time, late, where the next answer on the connection is expected.
// The call's ID doesn't tell the two apart if the next request is another attempt of the same call.
func (a *answer) rejectedByBackend() bool {
	return a.refusal != nil && (a.refusal.Reason == call.ReasonBackend || a.refusal.Reason == call.ReasonNotHeld)
}

// connBroke reports whether the connection broke during the attempt, here or at the destination, as
// it does when a backend server crashes.
//
// Timeouts and cancellations don't count. Taking them for crashes would quarantine harmless requests
// whenever connections go silent or callers have short timeouts.
func (a *answer) connBroke() bool {
	return a.err != nil && !a.expired && unknownKindOf(a.err) == unknownLost && !errors.Is(a.err, context.Canceled)
}

// send sends o and waits until its answer begins. The answer's body must be closed exactly once.
func (u *Upstreams) send(ctx context.Context, now time.Time, o *outbound) answer {
	up := u.get(now, o.addr, o.vm)
	a := newAttempt(up, o.in.Method, o.body.stream, o.answerTimeout)
	transport := up.transport
	if o.newConn {
		transport = up.unpooled
	}
	resp, err := transport.RoundTrip(o.request(&transportRequest{
		attemptContext: attemptContext{Context: ctx, trace: &a.trace, dialDeadline: now.Add(o.answerTimeout)},
	}))
	if err == nil && a.timer.Stop() {
		a.answer.ReadCloser, a.answer.timerStopped, a.answer.stallTimeout = resp.Body, true, o.stallTimeout
		a.answer.endsAt = time.Time{}
		resp.Body = &a.answer
		return answer{resp: resp}
	}
	if err == nil {
		// The timeout passed just as the answer began.
		err = errAnswerTimeout
		resp.Body.Close()
	}
	if errors.Is(err, context.Canceled) {
		a.cancelled(now.Add(o.answerTimeout))
	}
	return a.failed(err)
}

// request builds the request for the transport.
func (o *outbound) request(s *transportRequest) *http.Request {
	out := o.in.WithContext(&s.attemptContext)
	s.url = url.URL{
		Scheme: "http", Host: o.addr,
		Path: o.in.URL.Path, RawPath: o.in.URL.RawPath,
		RawQuery: o.in.URL.RawQuery, ForceQuery: o.in.URL.ForceQuery,
	}
	setOpaque(&s.url, o.in)
	out.URL = &s.url
	out.RequestURI = ""
	for i, x := range o.extra {
		if x.Name != "" {
			s.values[i][0] = x.Value
			o.header[x.Name] = s.values[i][:]
		}
	}
	out.Header = o.header
	out.Close = false
	out.TransferEncoding = nil
	out.GetBody = nil
	out.Body, out.ContentLength = o.body.open()
	return out
}

// failed ends an attempt that got no answer, and returns a refusal or an error.
func (a *attempt) failed(err error) answer {
	refusal := a.refusalIfUnsent()
	a.mu.Lock()
	waited, replay := a.timedOut, a.replay
	a.mu.Unlock()
	a.finish()
	switch {
	case refusal != nil:
		return answer{refusal: refusal, expired: waited}
	case waited:
		err = errAnswerTimeout
	case replay:
		err = errReplay
	}
	return answer{err: err, expired: waited}
}

// answerBody is the body of an answer. Each read is limited to the stall timeout, and Close ends
// the attempt.
type answerBody struct {
	io.ReadCloser
	attempt      *attempt
	timerStopped bool // the attempt's timer isn't running
	stallTimeout time.Duration
	endsAt       time.Time // when the rest is cut off, or zero
}

// Limits of the stall timeout. The minimum allows for the retransmission of a lost packet.
const (
	maxStallTimeout = 30 * time.Second
	minStallTimeout = time.Second
)

// stallTimeoutOf returns the stall timeout of a class: its deadline, or half of it for an idempotent
// class to leave the caller time for a retry, within the limits above.
func stallTimeoutOf(t *config.Target) time.Duration {
	d := t.Deadline()
	if t.Idempotent {
		d /= 2
	}
	return min(max(d, minStallTimeout), maxStallTimeout)
}

// Read reads the next part, within the stall timeout.
func (b *answerBody) Read(p []byte) (int, error) {
	b.timerStopped = false
	timeout := b.stallTimeout
	if !b.endsAt.IsZero() {
		timeout = min(timeout, time.Until(b.endsAt))
	}
	b.attempt.timer.Reset(timeout)
	n, err := b.ReadCloser.Read(p)
	b.timerStopped = b.attempt.timer.Stop()
	if err != nil && err != io.EOF && b.attempt.expired() {
		err = errStalled
	}
	return n, err
}

// Close ends the attempt.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.attempt.finish()
	return err
}

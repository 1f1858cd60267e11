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
	"github.com/marlpass/marlpass/internal/config"
)

// Errors of an attempt that may have run.
var (
	// errWaited means that no answer began within the bound.
	errAnswerTimeout = errors.New("proxy: no answer within the bound")
	// errStalled means that an answer stopped in its middle.
	errStalled = errors.New("proxy: the answer stopped")
)

// attempt is one request to one address. It lives from send until its answer
// is closed, or until send fails, and is used again after that: the transport
// keeps no more of it than the trace, whose fields never change.
type attempt struct {
	trace httptrace.ClientTrace
	timer *time.Timer
	// answer is the body of the answer, once it has begun.
	answer answerBody

	mu         sync.Mutex // guards what follows
	up         *upstream
	body       *streamBody // nil when the body does not stream
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

// newAttempt returns an attempt whose answer must begin within wait.
func newAttempt(up *upstream, b *streamBody, wait time.Duration) *attempt {
	a := attempts.Get().(*attempt)
	a.mu.Lock()
	a.up, a.body = up, b
	a.conn, a.generation = nil, 0
	a.replay, a.timedOut, a.finished = false, false, false
	// Or finish would take the timer for stopped after expire has begun.
	a.answer.timerStopped = false
	a.mu.Unlock()
	a.timer.Reset(wait)
	return a
}

// finish ends the attempt. It must be called once, and a not be used after.
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
	// Otherwise expire runs at this moment, and must not meet a later call.
}

// gotConn is called by the transport with the connection that it chose, before
// it writes.
//
// It guards against the transport's own replay. When a reused connection
// breaks before the answer begins, net/http sends a request without a body
// again on another connection if its method is GET, HEAD, OPTIONS or TRACE,
// and any bodyless request that has an Idempotency-Key header: exactly the
// bookings that must run at most once. The caller would see one answer and the
// backend server would have run two. A request is therefore let onto a second
// connection only if the first is proved to have carried nothing; otherwise
// the second one is barred before the transport writes to it, and the attempt
// ends as one that may have run.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		panic("proxy: a connection that the upstream did not open")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	ticket := c.assign(a.body)
	if a.conn != nil && !a.conn.blockWrites(a.generation) {
		a.replay = true
		c.replay.Store(true)
		c.blockWrites(ticket)
		return
	}
	a.conn, a.generation = c, ticket
	if a.timedOut {
		c.closeFor(ticket)
	}
}

// barConn reports whether no byte of the attempt was written or ever will be.
func (a *attempt) blockWrites() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.replay && (a.conn == nil || a.conn.blockWrites(a.generation))
}

// expire ends the attempt when its bound has passed: it closes the connection,
// which ends whatever waits for it. An attempt that has no connection yet is
// ended by the bound on dialling.
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

// deadlineSkew is how much earlier than at this node a call may end at the node before. Each
// node counts the deadline from the moment it reads the call, so the one before is ahead by
// the way between two regions, or by a wait for the processor of a busy VM.
const deadlineSkew = 100 * time.Millisecond

// givenUp is called when the node before, or the caller, has given the call up. Where it did
// so about when the bound would have passed here, the bound counts as passed: the idle
// connections to the same address are closed.
//
// Without it a backend server whose connections were forgotten keeps the other ones in its
// pool whenever the entry node gives up first, and each next call waits out a whole deadline.
func (a *attempt) cancelled(bound time.Time) {
	if time.Until(bound) > deadlineSkew {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.up.closeIdle()
}

// kill closes the connection of an attempt whose answer has begun, so that no
// later call reads what is still on its way there.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.closeFor(a.generation)
	}
}

// expired reports whether a bound ended the attempt.
func (a *attempt) expired() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.timedOut
}

// outbound is a request to be sent on.
type outbound struct {
	in            *http.Request // gives method, URL and the rest
	header        http.Header
	body          *body
	addr          string
	vm            string        // the node at addr, or empty for a backend server
	answerTimeout time.Duration // bound on the answer's beginning
	stallTimeout  time.Duration // bound between two parts of the answer
	extra         AttemptHeaders
}

// sending is what the transport is given of one attempt, and may read for as
// long as it likes. It is one allocation, and not used again.
type transportRequest struct {
	attemptContext
	url    url.URL
	values [len(outbound{}.extra)][1]string
}

// answer is what became of an attempt. Exactly one of resp, refusal and err is
// set.
type answer struct {
	resp    *http.Response
	refusal *call.Refusal // it was not run
	err     error         // it may have run
	// expired says that the attempt ended because its bound passed.
	expired bool
	load    Load
	// linkWait is how long large answers wait for the destination's link.
	linkWait time.Duration
	// took is what the time at the destination went into.
	took destinationTimes
	// held is what the call holds at this node until its answer has been
	// passed on; nil when another node ran it.
	held *execution
}

// kill ends an answer that must not be passed on, and its connection.
func (a *answer) abort() {
	if b, ok := a.resp.Body.(*answerBody); ok {
		b.attempt.closeConn()
	}
	a.resp.Body.Close()
}

// outcome returns what is known of the attempt.
func (a *answer) outcome() call.Outcome {
	switch {
	case a.refusal != nil:
		return call.NotRun
	case a.resp != nil:
		return call.Ran
	}
	return call.Unknown
}

// reached reports whether a backend server got the attempt, or may have.
func (a *answer) reached() bool {
	return a.refusal == nil || a.refusal.Reason == call.ReasonBackend
}

// broke reports whether the connection broke under the attempt, here or at the
// destination, as it does when a backend server crashes.
//
// An attempt that waited in vain, or whose caller left, says nothing of that
// kind. Taking it for a crash would hold back innocent requests at their entry
// node whenever connections go silent or callers are impatient.
func (a *answer) connBroke() bool {
	return a.err != nil && !a.expired && unknownKindOf(a.err) == unknownLost && !errors.Is(a.err, context.Canceled)
}

// send sends o and waits until its answer begins. The answer's body must be
// closed, once.
func (u *Upstreams) send(ctx context.Context, now time.Time, o *outbound) answer {
	up := u.get(now, o.addr, o.vm)
	a := newAttempt(up, o.body.stream, o.answerTimeout)
	resp, err := up.transport.RoundTrip(o.request(&transportRequest{
		attemptContext: attemptContext{Context: ctx, trace: &a.trace, dialDeadline: now.Add(o.answerTimeout)},
	}))
	if err == nil && a.timer.Stop() {
		a.answer.ReadCloser, a.answer.timerStopped, a.answer.stallTimeout = resp.Body, true, o.stallTimeout
		resp.Body = &a.answer
		return answer{resp: resp}
	}
	if err == nil {
		// The bound passed in the moment the answer began.
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

// failed ends an attempt without an answer and tells what that means.
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

// answerBody is the body of an answer. It may stand still for the time of its
// class, and ends its attempt when it is closed.
type answerBody struct {
	io.ReadCloser
	attempt      *attempt
	timerStopped bool // the timer is stopped
	stallTimeout time.Duration
}

// Bounds on how long a body may stand still. The least lets a lost packet be
// sent again.
const (
	maxStallTimeout = 30 * time.Second
	minStallTimeout = time.Second
)

// stallOf returns how long a body of the class may stand still: no longer than
// its caller would wait for the whole call, and half of that if the call is
// idempotent, so that its caller is left time to send it again.
func stallTimeoutOf(t *config.Target) time.Duration {
	d := t.Deadline()
	if t.Idempotent {
		d /= 2
	}
	return min(max(d, minStallTimeout), maxStallTimeout)
}

// Read reads the next part, within the bound.
func (b *answerBody) Read(p []byte) (int, error) {
	b.timerStopped = false
	b.attempt.timer.Reset(b.stallTimeout)
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

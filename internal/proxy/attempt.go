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
)

// Errors of an attempt that may have run.
var (
	// errWaited means that no answer began within the bound.
	errWaited = errors.New("proxy: no answer within the bound")
	// errStalled means that an answer stopped in its middle.
	errStalled = errors.New("proxy: the answer stopped")
	// errReplay means that the transport wanted to send the request again.
	errReplay = errors.New("proxy: the connection broke after the request was sent")
)

// attempt is one request to one address. It lives from send until the answer
// is read to its end, or until send fails.
type attempt struct {
	trace  httptrace.ClientTrace
	up     *upstream
	body   *streamBody // nil when the body does not stream
	cancel context.CancelFunc
	timer  *time.Timer

	mu     sync.Mutex // guards what follows
	conn   *conn
	ticket uint64
	replay bool
	waited bool
}

// newAttempt returns an attempt with its hooks set.
func newAttempt(up *upstream, b *streamBody) *attempt {
	a := &attempt{up: up, body: b}
	a.trace.GotConn = a.gotConn
	return a
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
	ticket := c.begin(a.body)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && !a.conn.bar(a.ticket) {
		a.replay = true
		c.bar(ticket)
		a.cancel()
		return
	}
	a.conn, a.ticket = c, ticket
}

// barConn reports whether no byte of the attempt was written or ever will be.
func (a *attempt) barConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.replay && (a.conn == nil || a.conn.bar(a.ticket))
}

// expire ends the attempt when its bound has passed.
func (a *attempt) expire() {
	a.mu.Lock()
	a.waited = true
	a.mu.Unlock()
	a.cancel()
	a.up.retire()
}

// expired reports whether a bound ended the attempt.
func (a *attempt) expired() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waited
}

// outbound is a request to be sent on.
type outbound struct {
	in     *http.Request // gives method, URL and the rest
	header http.Header
	body   *body
	addr   string
	host   string
	wait   time.Duration // bound on the answer's beginning
}

// answer is what became of an attempt. Exactly one of resp, refusal and err is
// set.
type answer struct {
	resp    *http.Response
	refusal *call.Refusal // it was not run
	err     error         // it may have run
	attempt *attempt
	load    Load
	// permit, claim and mark are held until the answer has been passed on.
	held *holding
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

// send sends o and waits until its answer begins.
func (u *Upstreams) send(ctx context.Context, now time.Time, o *outbound) answer {
	up := u.get(now, o.addr)
	a := newAttempt(up, o.body.stream)
	ctx, a.cancel = context.WithCancel(ctx)
	a.timer = time.AfterFunc(o.wait, a.expire)
	resp, err := up.transport.RoundTrip(o.request(httptrace.WithClientTrace(ctx, &a.trace)))
	if err == nil {
		if !a.timer.Stop() {
			// The bound passed in the moment the answer began.
			err = errWaited
			resp.Body.Close()
		} else {
			up.answered.Store(now.UnixNano())
			resp.Body = &answerBody{ReadCloser: resp.Body, attempt: a}
			return answer{resp: resp, attempt: a}
		}
	}
	a.timer.Stop()
	a.cancel()
	return a.failed(err)
}

// request builds the request for the transport.
func (o *outbound) request(ctx context.Context) *http.Request {
	out := o.in.WithContext(ctx)
	out.URL = &url.URL{
		Scheme: "http", Host: o.addr,
		Path: o.in.URL.Path, RawPath: o.in.URL.RawPath,
		RawQuery: o.in.URL.RawQuery, ForceQuery: o.in.URL.ForceQuery,
	}
	out.RequestURI = ""
	out.Host = o.host
	out.Header = o.header
	out.Close = false
	out.TransferEncoding = nil
	out.GetBody = nil
	out.Body, out.ContentLength = o.body.open()
	return out
}

// failed tells what an attempt without an answer means.
func (a *attempt) failed(err error) answer {
	if r := a.unsent(); r != nil {
		return answer{refusal: r, attempt: a}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.waited:
		err = errWaited
	case a.replay:
		err = errReplay
	}
	return answer{err: err, attempt: a}
}

// answerBody is the body of an answer. It may stop for as long as stallBound
// between two reads, and ends its attempt when it is closed.
type answerBody struct {
	io.ReadCloser
	attempt *attempt
}

// stallBound is how long a body may stand still.
const stallBound = 30 * time.Second

// Read reads the next part, within stallBound.
func (b *answerBody) Read(p []byte) (int, error) {
	b.attempt.timer.Reset(stallBound)
	n, err := b.ReadCloser.Read(p)
	b.attempt.timer.Stop()
	if err != nil && err != io.EOF && b.attempt.expired() {
		err = errStalled
	}
	return n, err
}

// Close ends the attempt.
func (b *answerBody) Close() error {
	b.attempt.timer.Stop()
	err := b.ReadCloser.Close()
	b.attempt.cancel()
	return err
}

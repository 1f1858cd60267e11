package pipeline

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/defect"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 8 << 10
	// headerSlack is how many bytes the read buffer may read past a header.
	headerSlack = readBuffer
	// maxDrainBytes is how much of an unread request body is read in order to keep the
	// connection.
	maxDrainBytes = 256 << 10
	// lingerTimeout is how long a closing connection with unread bytes stays open for reading, so
	// that the kernel does not reset it before the client has read the response.
	lingerTimeout = 500 * time.Millisecond
	// finalReadTimeout is how long an idle connection is still read during shutdown: a request
	// that has arrived may be waiting in the socket.
	finalReadTimeout = 50 * time.Millisecond
)

// errHeaderTooLarge means that a request header is over its limit.
var errHeaderTooLarge = errors.New("pipeline: request header too large")

// conn is a client connection.
type conn struct {
	s      *Server
	nc     net.Conn
	raw    net.Conn // the socket under nc
	remote string   // the client's address
	lr     *limitedReader
	br     *bufio.Reader
	wmu    sync.Mutex    // guards bw
	bw     *bufio.Writer // nil while nothing is being sent
	ctx    context.Context
	cancel context.CancelFunc
	// requestCtx is the context of the requests. It ends with ctx, or earlier when CancelRequests
	// cancels requests whose responses may still be sent.
	requestCtx     context.Context
	cancelRequests context.CancelFunc

	mu sync.Mutex // guards the rest
	// pending are the requests that were read and whose responses are not complete, oldest first.
	pending []*exchange
	// readsDone means that no request after the pending ones and the one being read is accepted;
	// clientGone that the client has left; responsesDone that the last response was sent.
	readsDone, clientGone, responsesDone bool
	// reading means that the first byte of a request has arrived and the request is not pending
	// yet.
	reading bool
	// waiting means that the reader waits for a first byte, or is about to; finalRead that this
	// is the last such wait, bounded by finalReadTimeout.
	waiting, finalRead bool
	// lingering means that all is sent and only the client's close is awaited.
	lingering bool
	// since is when the wait for a request, the reading of its header or the wait for the client's close
	// began.
	since         time.Time
	pendingShrank *sync.Cond // signalled when pending shrinks
}

func newConn(s *Server, raw net.Conn) *conn {
	nc := raw
	if s.TLS != nil {
		nc = tls.Server(raw, s.TLS)
	}
	c := &conn{s: s, nc: nc, raw: raw, remote: raw.RemoteAddr().String(), lr: &limitedReader{r: nc}, waiting: true, since: time.Now()}
	c.br = bufio.NewReaderSize(c.lr, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.requestCtx, c.cancelRequests = context.WithCancel(c.ctx)
	c.pendingShrank = sync.NewCond(&c.mu)
	return c
}

// serve reads requests until the client leaves or a response closes the connection.
//
// It keeps reading while requests are handled, which also detects that the client has left. Where it
// cannot read on, because a body is unread or the next request has to wait, watchHangup detects it.
// The contexts of all its requests end then, and with them work whose result cannot be delivered.
func (c *conn) serve() {
	defer c.s.removeConn(c)
	if !c.handshake() {
		c.abort()
		return
	}
	for {
		r, h, err := c.next()
		if err != nil {
			c.handleReadError(err)
			return
		}
		if !c.dispatch(r, h) {
			c.linger()
			return
		}
	}
}

// handshake authenticates the client of an encrypted connection within the timeout of a header.
func (c *conn) handshake() bool {
	t, ok := c.nc.(*tls.Conn)
	if !ok {
		return true
	}
	ctx := c.ctx
	if d := c.s.Limits().HeaderTimeout; d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	return t.HandshakeContext(ctx) == nil
}

// awaitFirstByte waits for the first byte of the next request.
//
// The idle timeout is read again when it has passed, because operators may raise it at any time.
// A client that relies on the new timeout would otherwise send its next request into a connection
// that is being closed.
func (c *conn) awaitFirstByte() error {
	began := time.Now()
	for {
		bound := c.s.Limits().IdleTimeout
		if bound > 0 && time.Since(began) >= bound && !c.inFinalRead() {
			return os.ErrDeadlineExceeded
		}
		remaining := bound
		if bound > 0 {
			remaining -= time.Since(began)
		}
		final, err := c.setIdleDeadline(remaining)
		if err != nil {
			return err
		}
		_, err = c.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || final {
			return err
		}
		if time.Since(began) < bound && !c.inFinalRead() {
			return err
		}
	}
}

// setIdleDeadline bounds the idle time from now on, and reports whether the connection ends when
// it has passed. It fails once the last response was sent: it would overwrite the deadline of
// closeAfterLastResponse, and the connection would stay open until the client closes it.
func (c *conn) setIdleDeadline(remaining time.Duration) (final bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responsesDone {
		return false, errNoFurtherRequest
	}
	if !c.waiting {
		c.waiting, c.since = true, time.Now()
	}
	if c.finalRead {
		remaining = finalReadTimeout
	}
	return c.finalRead, c.nc.SetReadDeadline(deadline(remaining))
}

func (c *conn) inFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finalRead
}

func deadline(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

var (
	errNoHost      = errors.New("pipeline: request without a Host header")
	errBlankInName = errors.New("pipeline: request with a blank in the name of a header")
	// errNoFurtherRequest means that no further request is read on the connection.
	errNoFurtherRequest = errors.New("pipeline: connection accepts no further request")
)

// requestError is the error of a request that was begun and could not be read.
type requestError struct{ err error }

func (e *requestError) Error() string { return e.err.Error() }
func (e *requestError) Unwrap() error { return e.err }

// beginRead records that a request is arriving. It reports false if no further request is
// accepted.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.waiting, c.since = !c.readsDone, false, time.Now()
	return c.reading
}

// dispatch passes a request to the handler, and returns when the next one may be read. It reports
// false when no further one may be.
func (c *conn) dispatch(r *http.Request, h headerMemory) bool {
	e := newExchange(c, r)
	e.memory.header = h
	if !c.reserve(e) {
		e.memory.release()
		c.reject(c.s.Reject)
		return false
	}
	if !c.enqueue(e, c.s.CanPipeline != nil && e.bodyless() && !c.s.Memory.Scarce() && c.s.CanPipeline(r)) {
		e.memory.release()
		return false
	}
	go e.run()
	if e.bodyless() {
		return !r.Close || c.watchForClose()
	}
	// The bytes behind the body can be read only after the body.
	if !c.awaitBody(e) || r.Close && defect.On(defect.MissLeavers) {
		return false
	}
	return !r.Close || c.watchForClose()
}

// awaitBody waits until the body of a request was read, and reports whether another request may be
// read.
func (c *conn) awaitBody(e *exchange) bool {
	defer c.watchHangup()()
	select {
	case <-e.body.done:
		return true
	case <-e.finished:
		return e.body.drain()
	}
}

// watchHangup ends the requests of the connection if the client closes it, until stop is called. It is
// for times in which nothing reads from the connection.
func (c *conn) watchHangup() (stop func()) { return c.s.hangups.Watch(c.nc, c.clientLeft) }

// watchForClose reads from the connection while its last request is handled, to detect that the
// client leaves. It always reports false.
func (c *conn) watchForClose() bool {
	c.mu.Lock()
	if c.responsesDone {
		c.mu.Unlock()
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{}) // the read returns the error
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.clientLeft()
	}
	return false
}

// closedTurn is the turn of a request with no pending request before it.
var closedTurn = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// enqueue adds a request to the pending ones: when none is pending, or with canPipeline when there
// are fewer than MaxPipelined. It reports false when the client has left. A request whose first
// byte arrived before readsDone was set is still accepted, because the response before it did not
// announce the close.
func (c *conn) enqueue(e *exchange, canPipeline bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.reading = false }()
	limit := 1
	if canPipeline {
		limit = MaxPipelined
	}
	if len(c.pending) >= limit {
		defer c.watchHangup()()
	}
	for len(c.pending) >= limit && !c.clientGone {
		c.pendingShrank.Wait()
	}
	if c.clientGone {
		return false
	}
	e.turn = closedTurn
	if len(c.pending) > 0 {
		e.turn = make(chan struct{})
	}
	c.pending = append(c.pending, e)
	c.readsDone = c.readsDone || e.req.Close
	return true
}

// finish removes the oldest request and gives the turn to the next.
func (c *conn) finish(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || c.pending[0] != e {
		return
	}
	c.pending = slices.Delete(c.pending, 0, 1)
	if len(c.pending) > 0 {
		close(c.pending[0].turn)
	}
	c.pendingShrank.Broadcast()
}

// isLastResponse reports whether the response to e is the last of the connection. closeRequested
// means that the handler or the client asks to close it.
func (c *conn) isLastResponse(e *exchange, closeRequested bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsDone = c.readsDone || closeRequested || c.s.draining.Load()
	return c.readsDone && len(c.pending) == 1 && c.pending[0] == e && !c.reading
}

// closeIdle closes the connection if no request is pending, and reports whether it is closed. If
// the reader waits for a request, it makes a final read first: a request waiting in the socket
// must be answered, because the client cannot know whether it ran.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 || c.reading {
		return false
	}
	if c.waiting && !c.readsDone {
		if !c.finalRead {
			c.finalRead = true
			_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // an error means that the reader has noticed
		}
		return false
	}
	c.readsDone = true
	c.raw.Close()
	return true
}

package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 8 << 10
	// headerSlack is what the read buffer may take beyond a header.
	headerSlack = readBuffer
	// maxDrainBytes is how much of a body that the handler left is read in order to
	// keep the connection.
	maxDrainBytes = 256 << 10
	// lingerTimeout is how long a connection that ends with unread bytes stays open
	// for reading, so that the kernel does not reset it under the answer.
	lingerTimeout = 500 * time.Millisecond
	// finalReadTimeout is how long a connection without requests is still read when the server shuts
	// down: a request that has come may wait in the socket.
	finalReadTimeout = 50 * time.Millisecond
)

// errHeaderTooLarge ends the reading of a header that is over its limit.
var errHeaderTooLarge = errors.New("pipeline: the header is too large")

// conn is one client's connection.
type conn struct {
	s      *Server
	nc     net.Conn
	remote string // the client's address
	lr     *limitedReader
	br     *bufio.Reader
	wmu    sync.Mutex // guards bw
	bw     *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	// requestCtx is the context of the requests. It ends with ctx, or before it when the
	// server gives up on requests whose answers may still be sent.
	requestCtx     context.Context
	cancelRequests context.CancelFunc

	mu sync.Mutex // guards the rest
	// pending are the requests that were read and are not answered, oldest first.
	pending []*exchange
	// readsDone says that no request after those due, and the one being read, will be
	// read; clientGone that the client has left; responsesDone that the readsDone answer was sent.
	readsDone, clientGone, responsesDone bool
	// reading says that a request's first byte has come and it is not due yet.
	reading bool
	// waiting says that the reader waits for a first byte, or is about to; finalRead that it is to
	// do so once more only.
	waiting, finalRead bool
	pendingShrank      *sync.Cond // signalled when due shrinks
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, remote: nc.RemoteAddr().String(), lr: &limitedReader{r: nc},
		bw: bufio.NewWriterSize(nc, writeBuffer), waiting: true}
	c.br = bufio.NewReaderSize(c.lr, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.requestCtx, c.cancelRequests = context.WithCancel(c.ctx)
	c.pendingShrank = sync.NewCond(&c.mu)
	return c
}

// limitedReader fails once more than its limit was read; a negative limit is none.
type limitedReader struct {
	r         io.Reader
	remaining int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return l.r.Read(p)
	}
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// serve reads requests until the client leaves or an answer closes the
// connection.
//
// It reads on while requests are handled. That is also how it learns that the
// client has left: the contexts of all requests end then, and with them the work
// that nobody waits for.
func (c *conn) serve() {
	defer c.s.removeConn(c)
	for {
		r, err := c.next()
		if err != nil {
			c.handleReadError(err)
			return
		}
		if !c.dispatch(r) {
			c.linger()
			return
		}
	}
}

// next reads the header of the next request.
func (c *conn) next() (*http.Request, error) {
	if err := c.awaitFirstByte(); err != nil {
		return nil, err
	}
	if !c.beginRead() {
		return nil, errNoFurtherRequest
	}
	l := c.s.Limits()
	if err := c.nc.SetReadDeadline(deadline(l.HeaderTimeout)); err != nil {
		return nil, err
	}
	r, err := c.readHeader(l.HeaderBytes)
	if err != nil {
		return nil, &requestError{err}
	}
	if err := c.nc.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	if r.Host == "" && r.ProtoAtLeast(1, 1) {
		return nil, &requestError{errNoHost}
	}
	r.Close = r.Close || !r.ProtoAtLeast(1, 1)
	r.RemoteAddr = c.remote
	return r, nil
}

// awaitFirstByte waits for the first byte of the next request.
//
// The bound on idle connections is asked for again when it has passed. Operators
// may raise it at any time; a client that goes by the new bound would otherwise
// send its next request into a connection that is being closed.
func (c *conn) awaitFirstByte() error {
	c.lr.remaining = -1
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

// setIdleDeadline sets how long the client may stay quiet from now on, and reports whether
// the connection ends then. It fails once the last answer was sent: setting the bound
// then would undo that of closing, and the connection would stay open until the client
// ends it.
func (c *conn) setIdleDeadline(remaining time.Duration) (final bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responsesDone {
		return false, errNoFurtherRequest
	}
	c.waiting = true
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

// readHeader reads the header of a request, which may take up to most bytes. What
// comes behind it in one piece may be its body, and does not count.
func (c *conn) readHeader(limit int) (*http.Request, error) {
	before := c.br.Buffered()
	c.lr.remaining = limit + headerSlack
	r, err := http.ReadRequest(c.br)
	headerSize := before + limit + headerSlack - c.lr.remaining - c.br.Buffered()
	c.lr.remaining = -1
	if err == nil && headerSize > limit {
		return nil, errHeaderTooLarge
	}
	return r, err
}

func deadline(d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return time.Now().Add(d)
}

var (
	errNoHost = errors.New("pipeline: the request names no host")
	// errNoFurtherRequest means that no further request is read on the connection.
	errNoFurtherRequest = errors.New("pipeline: the connection takes no further request")
)

// requestError is why a request that the client began could not be read.
type requestError struct{ err error }

func (e *requestError) Error() string { return e.err.Error() }
func (e *requestError) Unwrap() error { return e.err }

// beginRead notes that a request is coming, unless no further one is read.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.waiting = !c.readsDone, false
	return c.reading
}

// dispatch hands a request to the handler, and returns when the next one may be
// read. It reports false when none may.
func (c *conn) dispatch(r *http.Request) bool {
	e := newExchange(c, r)
	if !c.enqueue(e, c.s.CanPipeline != nil && e.bodyless() && c.s.CanPipeline(r)) {
		return false
	}
	go e.run()
	if e.bodyless() {
		return !r.Close || c.watchForClose()
	}
	// What follows the body cannot be read before the body was.
	select {
	case <-e.body.done:
	case <-e.finished:
		if !e.body.drain() {
			return false
		}
	}
	return !r.Close
}

// watchForClose keeps the connection read while its last request is handled, so that
// a client that leaves is noticed. It always reports false.
func (c *conn) watchForClose() bool {
	c.mu.Lock()
	if c.responsesDone {
		c.mu.Unlock()
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{}) // the read tells of the error
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.clientLeft()
	}
	return false
}

// closedTurn is the turn of a request that nothing is due before.
var closedTurn = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// enqueue adds a request to those due, once there is room and its turn allows. It
// reports false when the client has left. A request whose reading began before the
// connection was to end is still taken: the answer before it did not say so.
func (c *conn) enqueue(e *exchange, canPipeline bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.reading = false }()
	limit := 1
	if canPipeline {
		limit = MaxPipelined
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

// finish ends the turn of the oldest request.
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

// isLastResponse reports whether the answer to e is the last of the connection. Wanted
// says that the handler or the client asks for that.
func (c *conn) isLastResponse(e *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsDone = c.readsDone || wanted || c.s.draining.Load()
	return c.readsDone && len(c.pending) == 1 && c.pending[0] == e && !c.reading
}

// closeIdle closes the connection if nothing is due on it, and reports whether it
// is closed. Where the reader waits for a request it looks once more first: one that
// waits in the socket is answered, as the client can't know whether it ran.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 || c.reading {
		return false
	}
	if c.waiting && !c.readsDone {
		if !c.finalRead {
			c.finalRead = true
			_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // an error means that the reader has seen it
		}
		return false
	}
	c.readsDone = true
	c.nc.Close()
	return true
}

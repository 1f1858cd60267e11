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
	// maxDrained is how much of a body that the handler left is read in order to
	// keep the connection.
	maxDrained = 256 << 10
	// lingerFor is how long a connection that ends with unread bytes stays open
	// for reading, so that the kernel does not reset it under the answer.
	lingerFor = 500 * time.Millisecond
	// lastLook is how long a connection without requests is still read when the server shuts
	// down: a request that has come may wait in the socket.
	lastLook = 50 * time.Millisecond
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
	// work is the context of the requests. It ends with ctx, or before it when the
	// server gives up on requests whose answers may still be sent.
	work     context.Context
	stopWork context.CancelFunc

	mu sync.Mutex // guards the rest
	// due are the requests that were read and are not answered, oldest first.
	due []*exchange
	// last says that no request after those due, and the one being read, will be
	// read; gone that the client has left; closed that the last answer was sent.
	last, gone, closed bool
	// reading says that a request's first byte has come and it is not due yet.
	reading bool
	// waiting says that the reader waits for a first byte, or is about to; looking that it is to
	// do so once more only.
	waiting, looking bool
	room             *sync.Cond // signalled when due shrinks
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, remote: nc.RemoteAddr().String(), lr: &limitedReader{r: nc},
		bw: bufio.NewWriterSize(nc, writeBuffer), waiting: true}
	c.br = bufio.NewReaderSize(c.lr, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.work, c.stopWork = context.WithCancel(c.ctx)
	c.room = sync.NewCond(&c.mu)
	return c
}

// limitedReader fails once more than its limit was read; a negative limit is none.
type limitedReader struct {
	r    io.Reader
	left int
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left < 0 {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// serve reads requests until the client leaves or an answer closes the
// connection.
//
// It reads on while requests are handled. That is also how it learns that the
// client has left: the contexts of all requests end then, and with them the work
// that nobody waits for.
func (c *conn) serve() {
	defer c.s.forget(c)
	for {
		r, err := c.next()
		if err != nil {
			c.end(err)
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
	if err := c.awaitFirst(); err != nil {
		return nil, err
	}
	if !c.beginRead() {
		return nil, errLast
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

// awaitFirst waits for the first byte of the next request.
//
// The bound on idle connections is asked for again when it has passed. Operators
// may raise it at any time; a client that goes by the new bound would otherwise
// send its next request into a connection that is being closed.
func (c *conn) awaitFirst() error {
	c.lr.left = -1
	began := time.Now()
	for {
		bound := c.s.Limits().IdleTimeout
		if bound > 0 && time.Since(began) >= bound && !c.isLooking() {
			return os.ErrDeadlineExceeded
		}
		left := bound
		if bound > 0 {
			left -= time.Since(began)
		}
		last, err := c.boundIdle(left)
		if err != nil {
			return err
		}
		_, err = c.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || last {
			return err
		}
		if time.Since(began) < bound && !c.isLooking() {
			return err
		}
	}
}

// boundIdle sets how long the client may stay quiet from now on, and reports whether
// the connection ends then. It fails once the last answer was sent: setting the bound
// then would undo that of closing, and the connection would stay open until the client
// ends it.
func (c *conn) boundIdle(left time.Duration) (last bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, errLast
	}
	c.waiting = true
	if c.looking {
		left = lastLook
	}
	return c.looking, c.nc.SetReadDeadline(deadline(left))
}

func (c *conn) isLooking() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.looking
}

// readHeader reads the header of a request, which may take up to most bytes. What
// comes behind it in one piece may be its body, and does not count.
func (c *conn) readHeader(most int) (*http.Request, error) {
	before := c.br.Buffered()
	c.lr.left = most + headerSlack
	r, err := http.ReadRequest(c.br)
	taken := before + most + headerSlack - c.lr.left - c.br.Buffered()
	c.lr.left = -1
	if err == nil && taken > most {
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
	// errLast means that no further request is read on the connection.
	errLast = errors.New("pipeline: the connection takes no further request")
)

// requestError is why a request that the client began could not be read.
type requestError struct{ err error }

func (e *requestError) Error() string { return e.err.Error() }
func (e *requestError) Unwrap() error { return e.err }

// beginRead notes that a request is coming, unless no further one is read.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.waiting = !c.last, false
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
		return !r.Close || c.waitLast()
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

// waitLast keeps the connection read while its last request is handled, so that
// a client that leaves is noticed. It always reports false.
func (c *conn) waitLast() bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	_ = c.nc.SetReadDeadline(time.Time{}) // the read tells of the error
	c.mu.Unlock()
	if _, err := c.br.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.leave()
	}
	return false
}

// itsTurn is the turn of a request that nothing is due before.
var itsTurn = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// enqueue adds a request to those due, once there is room and its turn allows. It
// reports false when the client has left. A request whose reading began before the
// connection was to end is still taken: the answer before it did not say so.
func (c *conn) enqueue(e *exchange, ahead bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer func() { c.reading = false }()
	most := 1
	if ahead {
		most = MaxPipelined
	}
	for len(c.due) >= most && !c.gone {
		c.room.Wait()
	}
	if c.gone {
		return false
	}
	e.turn = itsTurn
	if len(c.due) > 0 {
		e.turn = make(chan struct{})
	}
	c.due = append(c.due, e)
	c.last = c.last || e.req.Close
	return true
}

// answered ends the turn of the oldest request.
func (c *conn) answered(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.due) == 0 || c.due[0] != e {
		return
	}
	c.due = slices.Delete(c.due, 0, 1)
	if len(c.due) > 0 {
		close(c.due[0].turn)
	}
	c.room.Broadcast()
}

// closesWith reports whether the answer to e is the last of the connection. Wanted
// says that the handler or the client asks for that.
func (c *conn) closesWith(e *exchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = c.last || wanted || c.s.leaving.Load()
	return c.last && len(c.due) == 1 && c.due[0] == e && !c.reading
}

// closeIdle closes the connection if nothing is due on it, and reports whether it
// is closed. Where the reader waits for a request it looks once more first: one that
// waits in the socket is answered, as the client can't know whether it ran.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.due) > 0 || c.reading {
		return false
	}
	if c.waiting && !c.last {
		if !c.looking {
			c.looking = true
			_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // an error means that the reader has seen it
		}
		return false
	}
	c.last = true
	c.nc.Close()
	return true
}

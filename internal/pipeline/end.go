package pipeline

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"
)

// handleReadError answers a request that could not be read, or notes that the client left.
func (c *conn) handleReadError(err error) {
	var bad *requestError
	switch {
	case errors.As(err, &bad) && errors.Is(err, errHeaderTooLarge):
		c.rejectRequest(http.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &bad) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !isNetError(err):
		c.rejectRequest(http.StatusBadRequest)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.mu.Lock()
		c.readsDone, c.reading = true, false
		idle := len(c.pending) == 0
		c.mu.Unlock()
		if idle {
			c.abort()
			return
		}
		// Answers are due on a connection on which the client is merely quiet.
		c.watchForClose()
		c.linger()
	case errors.Is(err, errNoFurtherRequest):
		c.watchForClose()
		c.linger()
	default:
		c.clientLeft()
	}
}

func isNetError(err error) bool {
	var n net.Error
	return errors.As(err, &n)
}

// rejectRequest answers a request that could not be read, behind those that are due.
func (c *conn) rejectRequest(status int) {
	r := &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: http.NoBody, Close: true}
	e := newExchange(c, r)
	e.handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, http.StatusText(status), status)
	})
	if c.enqueue(e, false) {
		e.run()
	}
	c.linger()
}

// clientLeft ends the work for a client that has left.
func (c *conn) clientLeft() {
	c.mu.Lock()
	c.readsDone, c.clientGone, c.reading = true, true, false
	c.pendingShrank.Broadcast()
	c.mu.Unlock()
	c.abort()
}

// linger waits for the last answer, and then for the client to close, so that
// bytes it still sends do not reset the connection under the answer.
func (c *conn) linger() {
	c.mu.Lock()
	for len(c.pending) > 0 && !c.clientGone {
		c.pendingShrank.Wait()
	}
	c.mu.Unlock()
	if t, ok := c.nc.(*net.TCPConn); ok {
		_ = t.CloseWrite() // an error means that the client has gone
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.nc)
	c.abort()
}

// abort ends the connection at once, and whatever is handled on it.
func (c *conn) abort() {
	c.cancel()
	c.nc.Close()
}

// logPanic logs a handler's panic, unless it is the one that breaks an answer
// off on purpose.
func (c *conn) logPanic(v any) {
	if v != http.ErrAbortHandler {
		c.s.Log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Msg("listener: a handler panicked")
	}
}

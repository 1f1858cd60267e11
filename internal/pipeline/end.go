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

// handleReadError answers a request that could not be read, or ends the work of a client that
// left.
func (c *conn) handleReadError(err error) {
	var bad *requestError
	switch {
	case errors.As(err, &bad) && errors.Is(err, errNoMemory):
		c.reject(c.s.Reject)
		c.linger()
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
		// Responses are pending on a connection whose client is merely idle.
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

// rejectRequest answers a request that could not be read, after the pending responses.
func (c *conn) rejectRequest(status int) {
	c.reject(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, http.StatusText(status), status)
	}))
	c.linger()
}

// reject sends the response of h in place of that to a request whose rest is not read, and ends the
// connection with it.
func (c *conn) reject(h http.Handler) {
	r := &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: http.NoBody, Close: true}
	e := newExchange(c, r)
	e.handler = h
	if c.enqueue(e, false) {
		e.run()
	}
}

// clientLeft cancels the work for a client that has left.
func (c *conn) clientLeft() {
	c.mu.Lock()
	c.readsDone, c.clientGone, c.reading = true, true, false
	c.pendingShrank.Broadcast()
	c.mu.Unlock()
	c.abort()
}

// linger waits for the last response and then for the client to close, so that bytes the client
// still sends do not reset the connection before it has read the response.
func (c *conn) linger() {
	c.awaitResponses()
	c.mu.Lock()
	c.lingering, c.since = true, time.Now()
	c.mu.Unlock()
	if w, ok := c.nc.(closeWriter); ok {
		_ = w.CloseWrite() // an error means that the client has left
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.nc)
	c.abort()
}

// awaitResponses waits until all responses are complete or the client has left.
func (c *conn) awaitResponses() {
	defer c.watchHangup()()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && !c.clientGone {
		c.pendingShrank.Wait()
	}
}

// abort closes the connection at once and cancels its requests.
func (c *conn) abort() {
	c.cancel()
	c.raw.Close()
}

// logPanic logs a handler's panic, except http.ErrAbortHandler, which aborts a response on
// purpose.
func (c *conn) logPanic(v any) {
	if v != http.ErrAbortHandler {
		c.s.Log.Error().Interface("panic", v).Bytes("stack", debug.Stack()).Msg("listener: a handler panicked")
	}
}

package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"
)

// maxStatus is the highest number of three digits.
const maxStatus = 999

// exchange is one request and its response. It is the handler's ResponseWriter.
type exchange struct {
	c       *conn
	req     *http.Request
	body    *requestBody
	handler http.Handler
	// turn is closed when all responses before this one are complete.
	turn chan struct{}
	// finished is closed when the handler has returned; nil without a body.
	finished chan struct{}

	memory exchangeMemory
	header http.Header
	status int
	// buffered holds what the handler wrote before the header was sent.
	buffered   bytes.Buffer
	headerSent bool // the header was sent
	closesConn bool // the connection ends with this response
	chunked    io.WriteCloser
	// remaining is how many bytes of the Content-Length are still to be written; negative without
	// one.
	remaining int64
}

func newExchange(c *conn, r *http.Request) *exchange {
	e := &exchange{
		c: c, handler: c.s.Handler, header: make(http.Header),
		remaining: -1,
	}
	if r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0 {
		e.finished = make(chan struct{})
		e.body = &requestBody{e: e, request: r, r: r.Body, done: make(chan struct{})}
		e.body.expectsContinue = r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
		r.Body = e.body
	}
	e.req = r.WithContext(c.requestCtx)
	return e
}

func (e *exchange) bodyless() bool { return e.body == nil }

// run handles the request and sends the response in its turn.
func (e *exchange) run() {
	defer e.memory.release()
	defer e.c.finish(e)
	complete := e.handle() || e.substituteResponse()
	if !complete || !e.awaitTurn() || !e.finishResponse() {
		// The requests behind it get no response on this connection.
		e.breakOff()
		return
	}
	if e.closesConn {
		e.c.closeAfterLastResponse()
	}
}

// breakOff ends the connection after an incomplete response. Where only the end of the connection
// marks the end of the body, it resets the connection, so that the client notices.
func (e *exchange) breakOff() {
	if t, ok := e.c.raw.(*net.TCPConn); ok && e.headerSent && e.remaining < 0 && e.chunked == nil {
		_ = t.SetLinger(0) // an error means that the connection is already closed
	}
	e.c.clientLeft()
}

// handle calls the handler, and reports false when the handler panicked.
func (e *exchange) handle() (complete bool) {
	if e.finished != nil {
		defer close(e.finished)
	}
	defer func() {
		if v := recover(); v != nil {
			e.c.logPanic(v)
			complete = false
		}
	}()
	e.handler.ServeHTTP(e, e.req)
	return true
}

// AwaitTurn waits until all requests before this one are answered, and reports false when the client
// left or a response before this one closed the connection. A handler calls it to run a request that
// CanPipeline let through and that must not run ahead after all.
func (e *exchange) AwaitTurn() bool { return e.awaitTurn() }

// awaitTurn waits for the response's turn, and reports false when the client left.
func (e *exchange) awaitTurn() bool {
	select {
	case <-e.turn:
		return e.c.ctx.Err() == nil
	case <-e.c.ctx.Done():
		return false
	}
}

// substituteResponse replaces a response that was aborted before any of it was sent by 502, and
// reports whether it could.
//
// Closing the connection here would lose the responses behind it, although backend servers have
// produced them. A request with a body gets no such response: the unread rest of its body would
// be parsed as the next request.
func (e *exchange) substituteResponse() bool {
	if e.headerSent || !e.bodyless() || e.c.ctx.Err() != nil {
		return false
	}
	e.header = make(http.Header)
	e.buffered.Reset()
	e.status = http.StatusBadGateway
	return true
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter. A status that is none ends the handler, as with net/http.
func (e *exchange) WriteHeader(status int) {
	if status < http.StatusContinue || status > maxStatus {
		panic(fmt.Sprintf("pipeline: invalid status %d", status))
	}
	if e.status == 0 && status >= http.StatusOK {
		e.status = status
	}
}

// Write implements http.ResponseWriter. Writes before the response's turn are buffered, up to
// MaxBufferedResponse and as long as there is memory for them.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if !e.headerSent && e.buffered.Len()+len(p) <= MaxBufferedResponse && !e.hasTurn() && e.memory.reserveResponse(len(p)) {
		return e.buffered.Write(p)
	}
	if !e.awaitTurn() {
		return 0, e.c.ctx.Err()
	}
	e.c.wmu.Lock()
	defer e.c.wmu.Unlock()
	if !e.headerSent {
		if err := e.sendHeader(false); err != nil {
			return 0, err
		}
	}
	return e.send(p)
}

func (e *exchange) hasTurn() bool {
	select {
	case <-e.turn:
		return true
	default:
		return false
	}
}

// Flush implements http.Flusher. It does nothing before the response's turn.
func (e *exchange) Flush() {
	if !e.hasTurn() {
		return
	}
	e.WriteHeader(http.StatusOK)
	e.c.wmu.Lock()
	defer e.c.wmu.Unlock()
	if !e.headerSent && e.sendHeader(false) != nil {
		return
	}
	_ = e.c.writer().Flush() // the next write returns the error
}

// sendHeader sends the header and the buffered body. complete means that the handler writes
// nothing more.
func (e *exchange) sendHeader(complete bool) error {
	e.headerSent = true
	h := e.header
	e.setFraming(complete)
	closeRequested := e.req.Close || hasToken(h["Connection"], "close")
	delete(h, "Connection")
	if e.closesConn = e.c.isLastResponse(e, closeRequested || e.remaining < 0 && e.chunked == nil && e.hasBody()); e.closesConn {
		h["Connection"] = []string{"close"}
	}
	w := e.c.writer()
	e.writeStatus(w)
	_ = h.Write(w)
	_, _ = w.WriteString("\r\n")
	_, err := e.send(e.buffered.Bytes())
	e.buffered = bytes.Buffer{}
	return err
}

// writeStatus writes the status line, and the date unless the handler set one. The writer keeps
// its first error and returns it from Flush.
func (e *exchange) writeStatus(w *bufio.Writer) {
	line := append(w.AvailableBuffer(), "HTTP/1.1 "...)
	line = strconv.AppendInt(line, int64(e.status), 10)
	line = append(line, ' ')
	line = append(line, http.StatusText(e.status)...)
	line = append(line, "\r\n"...)
	if _, set := e.header["Date"]; !set {
		line = append(line, "Date: "...)
		line = time.Now().UTC().AppendFormat(line, http.TimeFormat)
		line = append(line, "\r\n"...)
	}
	_, _ = w.Write(line)
}

// setFraming decides how the end of the body is marked.
func (e *exchange) setFraming(complete bool) {
	h := e.header
	delete(h, "Transfer-Encoding")
	if !e.hasBody() {
		if e.req.Method != http.MethodHead {
			delete(h, "Content-Length")
		}
		e.remaining = 0
		return
	}
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		e.remaining = n
		return
	}
	delete(h, "Content-Length")
	switch {
	case complete && h["Trailer"] == nil:
		e.remaining = int64(e.buffered.Len())
		h["Content-Length"] = []string{strconv.FormatInt(e.remaining, 10)}
	case e.req.ProtoAtLeast(1, 1):
		h["Transfer-Encoding"] = []string{"chunked"}
		e.chunked = httputil.NewChunkedWriter(e.c.writer())
	}
}

func (e *exchange) hasBody() bool {
	return e.req.Method != http.MethodHead && e.status != http.StatusNoContent && e.status != http.StatusNotModified
}

// send writes a part of the body.
func (e *exchange) send(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case !e.hasBody():
		return len(p), nil
	case e.chunked != nil:
		return e.chunked.Write(p)
	case e.remaining >= 0 && int64(len(p)) > e.remaining:
		return 0, http.ErrContentLength
	case e.remaining >= 0:
		e.remaining -= int64(len(p))
	}
	return e.c.writer().Write(p)
}

// finishResponse sends the rest of the response, and reports whether it is complete.
func (e *exchange) finishResponse() bool {
	e.WriteHeader(http.StatusOK)
	e.c.wmu.Lock()
	defer e.c.wmu.Unlock()
	if !e.headerSent && e.sendHeader(true) != nil {
		return false
	}
	if e.chunked != nil {
		if e.chunked.Close() != nil || e.writeTrailers() != nil {
			return false
		}
	}
	// A response shorter than its Content-Length must not look complete.
	if e.remaining > 0 || e.c.writer().Flush() != nil {
		return false
	}
	e.c.freeWriter()
	return true
}

// writeTrailers ends a chunked body with the announced trailers and those with
// http.TrailerPrefix.
func (e *exchange) writeTrailers() error {
	trailers := make(http.Header)
	for _, line := range e.header["Trailer"] {
		for name := range strings.SplitSeq(line, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if v, ok := e.header[name]; ok {
				trailers[name] = v
			}
		}
	}
	for name, v := range e.header {
		if bare, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			trailers[bare] = v
		}
	}
	if err := trailers.Write(e.c.writer()); err != nil {
		return err
	}
	_, err := e.c.writer().WriteString("\r\n")
	return err
}

// closeAfterLastResponse ends reading after the last response. linger discards what the client
// still sends.
func (c *conn) closeAfterLastResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsDone, c.responsesDone = true, true
	// The reader may be waiting for a next request; the deadline wakes it.
	_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // an error means that the reader has noticed
}

func hasToken(lines []string, token string) bool {
	for _, line := range lines {
		for t := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

// EnableFullDuplex lets a handler respond before it has read the body, which this server always
// allows.
func (e *exchange) EnableFullDuplex() error { return nil }

// SetReadDeadline bounds the reading of the request's body.
func (e *exchange) SetReadDeadline(t time.Time) error {
	if e.body == nil || e.body.ended() {
		// The reader of the next request sets its own deadline.
		return nil
	}
	return e.c.nc.SetReadDeadline(t)
}

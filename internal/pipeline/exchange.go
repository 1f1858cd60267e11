package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"
)

// exchange is one request and its answer. It is the handler's ResponseWriter.
type exchange struct {
	c       *conn
	req     *http.Request
	body    *requestBody
	handler http.Handler
	// turn is closed when all answers before this one were sent.
	turn chan struct{}
	// finished is closed when the handler has returned; nil without a body.
	finished chan struct{}

	header http.Header
	status int
	// buffered is what the handler wrote before the header was sent.
	buffered   bytes.Buffer
	headerSent bool // the header was sent
	closesConn bool // the connection ends with this answer
	chunked    io.WriteCloser
	// remaining is how many bytes of the announced length are still to be written;
	// negative when no length was announced.
	remaining int64
}

func newExchange(c *conn, r *http.Request) *exchange {
	e := &exchange{
		c: c, handler: c.s.Handler, header: make(http.Header),
		remaining: -1,
	}
	if r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0 {
		e.finished = make(chan struct{})
		e.body = &requestBody{e: e, r: r.Body, done: make(chan struct{})}
		e.body.expectsContinue = r.ProtoAtLeast(1, 1) && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
		r.Body = e.body
	}
	e.req = r.WithContext(c.requestCtx)
	return e
}

func (e *exchange) bodyless() bool { return e.body == nil }

// run handles the request and sends the answer in its turn.
func (e *exchange) run() {
	defer e.c.finish(e)
	complete := e.handle() || e.substituteResponse()
	if !complete || !e.awaitTurn() || !e.finishResponse() {
		// Whoever waits behind is answered by nobody on this connection.
		e.breakOff()
		return
	}
	if e.closesConn {
		e.c.closeAfterLastResponse()
	}
}

// breakOff ends the connection after an answer that is not whole. Where only the end of
// the connection would tell the end of the body, a reset tells that it was breakOff.
func (e *exchange) breakOff() {
	if t, ok := e.c.nc.(*net.TCPConn); ok && e.headerSent && e.remaining < 0 && e.chunked == nil {
		_ = t.SetLinger(0) // an error means that the connection is gone already
	}
	e.c.clientLeft()
}

// handle calls the handler, and reports false when the answer was broken off.
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

// awaitTurn waits for the answer's turn, and reports false when the client left.
func (e *exchange) awaitTurn() bool {
	select {
	case <-e.turn:
		return e.c.ctx.Err() == nil
	case <-e.c.ctx.Done():
		return false
	}
}

// substituteResponse puts an answer in the place of one that broke off before any of it was
// sent, and reports whether it could.
//
// It guards the answers behind it. With the connection closed here they would be
// lost, though backend servers have made them. A request with a body has no such
// answer: what is left of the body would be read as the next request.
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

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 && status >= http.StatusOK {
		e.status = status
	}
}

// Write implements http.ResponseWriter. What comes before the answer's turn is
// held, up to a bound.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if !e.headerSent && e.buffered.Len()+len(p) <= MaxBufferedResponse && !e.hasTurn() {
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

// Flush implements http.Flusher. It does nothing before the answer's turn.
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
	_ = e.c.bw.Flush() // the next write tells of the error
}

// sendHeader sends the header and what was held. Whole says that the handler
// writes nothing more.
func (e *exchange) sendHeader(complete bool) error {
	e.headerSent = true
	h := e.header
	e.setFraming(complete)
	wanted := e.req.Close || hasToken(h["Connection"], "close")
	delete(h, "Connection")
	if e.closesConn = e.c.isLastResponse(e, wanted || e.remaining < 0 && e.chunked == nil && e.hasBody()); e.closesConn {
		h["Connection"] = []string{"close"}
	}
	w := e.c.bw
	e.writeStatus(w)
	_ = h.Write(w)
	_, _ = w.WriteString("\r\n")
	_, err := e.send(e.buffered.Bytes())
	e.buffered = bytes.Buffer{}
	return err
}

// writeStatus writes the status line, and the date unless the handler set one. The
// writer keeps its first error for the flush.
func (e *exchange) writeStatus(w *bufio.Writer) {
	line := append(w.AvailableBuffer(), "HTTP/1.1 "...)
	line = strconv.AppendInt(line, int64(e.status), 10)
	line = append(line, ' ')
	line = append(line, http.StatusText(e.status)...)
	line = append(line, "\r\n"...)
	if e.header["Date"] == nil {
		line = append(line, "Date: "...)
		line = time.Now().UTC().AppendFormat(line, http.TimeFormat)
		line = append(line, "\r\n"...)
	}
	_, _ = w.Write(line)
}

// setFraming decides how the end of the body is told.
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
		e.chunked = httputil.NewChunkedWriter(e.c.bw)
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
	return e.c.bw.Write(p)
}

// finishResponse sends what is left of the answer, and reports whether it is whole.
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
	// An answer that is shorter than announced must not look whole.
	return e.remaining <= 0 && e.c.bw.Flush() == nil
}

// writeTrailers ends a chunked body with the trailers that were announced, and
// those that bear the prefix of net/http.
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
	if err := trailers.Write(e.c.bw); err != nil {
		return err
	}
	_, err := e.c.bw.WriteString("\r\n")
	return err
}

// closeAfterLastResponse ends the connection after its last answer. Whatever the client sends
// is left to linger.
func (c *conn) closeAfterLastResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsDone, c.responsesDone = true, true
	// The reader may wait for a next request: it has to see that there is none.
	_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // an error means that it has seen it
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

// EnableFullDuplex lets a handler answer before it has read the body; it always
// may here.
func (e *exchange) EnableFullDuplex() error { return nil }

// SetReadDeadline bounds the reading of the request's body.
func (e *exchange) SetReadDeadline(t time.Time) error {
	if e.body == nil || e.body.ended() {
		// The reader of the next request sets its own.
		return nil
	}
	return e.c.nc.SetReadDeadline(t)
}

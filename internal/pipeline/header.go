package pipeline

import (
	"io"
	"net/http"
	"time"

	"github.com/marlpass/marlpass/internal/defect"
)

// next reads the header of the next request. The memory reserved for it belongs to the request.
func (c *conn) next() (*http.Request, headerMemory, error) {
	h := headerMemory{memory: c.s.Memory}
	r, err := c.readRequest(&h)
	if err != nil {
		h.release()
	}
	return r, h, err
}

func (c *conn) readRequest(h *headerMemory) (*http.Request, error) {
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
	r, err := c.readHeader(l.HeaderBytes, h)
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

// readHeader reads a request header of up to limit bytes. Bytes behind it that arrive in the same
// read may belong to the body and do not count.
func (c *conn) readHeader(limit int, h *headerMemory) (*http.Request, error) {
	before := c.br.Buffered()
	c.lr.remaining = limit + headerSlack
	if early, _ := c.br.Peek(before); !h.add(early) {
		return nil, errNoMemory
	}
	c.lr.header, c.lr.failed = h, nil
	r, err := http.ReadRequest(c.br)
	c.lr.header = nil
	headerSize := before + limit + headerSlack - c.lr.remaining - c.br.Buffered()
	switch {
	case c.lr.failed != nil && err != nil:
		return nil, c.lr.failed
	case err != nil:
		return nil, err
	case headerSize > limit:
		return nil, errHeaderTooLarge
	case h.scan.BlankInName && !defect.On(defect.KeepBlankNames):
		// net/http would not send it on, or take the body's length from another line than the
		// client meant.
		return nil, errBlankInName
	}
	return r, nil
}

// limitedReader reads from a client. While header is set, it fails after remaining bytes were read, and as
// soon as there is no memory for the header that is being read.
type limitedReader struct {
	r         io.Reader
	remaining int
	header    *headerMemory
	// failed is the error that ended the reading of the header. net/http takes the part of a line before
	// an error for the whole line and reads on.
	failed error
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.header == nil {
		return l.r.Read(p)
	}
	if l.failed == nil && l.remaining == 0 {
		l.failed = errHeaderTooLarge
	}
	if l.failed != nil {
		return 0, l.failed
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if !l.header.add(p[:n]) {
		n, err = 0, errNoMemory
	}
	l.failed = err
	return n, err
}

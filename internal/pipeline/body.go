package pipeline

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

// requestBody is the body of a request.
type requestBody struct {
	e               *exchange
	request         *http.Request // as net/http read it, which adds the trailer to it
	mu              sync.Mutex    // a handler's transport may still read while drain runs
	r               io.ReadCloser
	expectsContinue bool // the client waits for 100 Continue
	once            sync.Once
	done            chan struct{} // closed at the body's end
	discarded       bool
}

// errBodyClosed is returned by reads of a body after its response is complete.
var errBodyClosed = errors.New("pipeline: request body read after the response was complete")

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discarded {
		return 0, errBodyClosed
	}
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.r.Read(p)
	if err == io.EOF && !b.e.memory.reserveTrailer(b.request.Trailer) {
		return n, errNoMemory
	}
	if err == io.EOF {
		b.once.Do(func() { close(b.done) })
	}
	return n, err
}

// sendContinue sends 100 Continue, unless the response header was sent first.
func (b *requestBody) sendContinue() error {
	if !b.e.awaitTurn() {
		return context.Canceled
	}
	b.e.c.wmu.Lock()
	defer b.e.c.wmu.Unlock()
	if b.e.headerSent {
		return nil // the response precedes the body
	}
	if _, err := b.e.c.writer().WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return b.e.c.writer().Flush()
}

// Close implements io.Closer. The rest of the body is read by drain.
func (b *requestBody) Close() error { return nil }

func (b *requestBody) ended() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}

// drain reads what the handler left unread of the body, and reports whether the connection can
// serve another request.
func (b *requestBody) drain() bool {
	if b.ended() {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discarded = true
	if b.expectsContinue {
		return false // the client may or may not send it
	}
	n, err := io.CopyN(io.Discard, b.r, maxDrainBytes)
	return err == io.EOF && n < maxDrainBytes
}

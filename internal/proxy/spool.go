package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// maxSpooledBytes bounds an answer that is buffered before it is relayed.
const maxSpooledBytes = 1 << 20

// errAnswerTruncated means that an answer was truncated before it was relayed.
var errAnswerTruncated = errors.New("proxy: the answer was truncated")

// Spool bounds the memory of answers that are buffered by this node and not yet relayed. A nil
// Spool buffers none.
type Spool struct {
	limit int64
	used  atomic.Int64
}

// NewSpool returns a spool of up to limit bytes.
func NewSpool(limit int64) *Spool { return &Spool{limit: limit} }

// read buffers a whole answer of known length, and reports whether it tried to.
//
// Buffering has two benefits. The slot of the backend server is released as soon as its answer is
// read, and not when the last byte has gone over a slow link. And a truncated answer has not begun
// for the caller, so that an idempotent call can still be retried at another endpoint.
//
// An answer of unknown length is relayed while it arrives, since it may be endless.
func (s *Spool) read(resp *http.Response) (tried bool, err error) {
	n := resp.ContentLength
	if s == nil || n <= 0 || n > maxSpooledBytes || hasNoBody(resp) {
		return false, nil
	}
	if s.used.Add(n) > s.limit {
		s.used.Add(-n)
		return false, nil
	}
	whole := make([]byte, n)
	_, err = io.ReadFull(resp.Body, whole)
	resp.Body.Close()
	if err != nil {
		s.used.Add(-n)
		return true, errors.Join(errAnswerTruncated, err)
	}
	resp.Body = &spooledBody{Reader: bytes.NewReader(whole), spool: s, n: n}
	return true, nil
}

// spooledBody is the body of a buffered answer.
type spooledBody struct {
	*bytes.Reader
	spool *Spool
	n     int64
}

// Close returns the memory to the spool.
func (b *spooledBody) Close() error {
	b.spool.used.Add(-b.n)
	b.n = 0
	return nil
}

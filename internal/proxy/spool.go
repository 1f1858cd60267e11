package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// maxSpooled bounds one answer that is read whole before it is passed on.
const maxSpooledBytes = 1 << 20

// errBroken means that an answer broke off before it was passed on.
var errAnswerTruncated = errors.New("proxy: the answer broke off")

// Spool bounds the memory of the answers that a node has read and not yet passed
// on. A nil Spool reads none.
type Spool struct {
	limit int64
	used  atomic.Int64
}

// NewSpool returns a spool of up to limit bytes.
func NewSpool(limit int64) *Spool { return &Spool{limit: limit} }

// read reads an answer of known length whole, and reports whether that was tried.
//
// It buys two things. A backend server has its slot free again as soon as its
// answer is read, and not when the last byte has gone over a slow link. And an
// answer that breaks off has not begun for its caller: a call that may run twice
// can still be sent to another endpoint.
//
// An answer without a length is passed on as it comes, since it may be endless.
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

// spooled is the body of an answer that was read whole.
type spooledBody struct {
	*bytes.Reader
	spool *Spool
	n     int64
}

// Close gives the memory back.
func (b *spooledBody) Close() error {
	b.spool.used.Add(-b.n)
	b.n = 0
	return nil
}

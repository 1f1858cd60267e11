package pipeline

import (
	"errors"
	"net/http"
	"sync"

	"github.com/marlpass/marlpass/internal/budget"
	"github.com/marlpass/marlpass/internal/message"
)

// Estimates of the live heap that requests take.
const (
	// requestMemory is what a request takes beside its header: the goroutine that handles it and the
	// buffers of both connections on which its answer is relayed.
	requestMemory = 40 << 10
	// headerByteMemory and headerLineMemory are what each byte and each line of a header take, with
	// the copies that are made of it for its attempts.
	headerByteMemory = 4
	headerLineMemory = 160
	// ordinaryHeader is the largest cost of a header that shares the room of ordinary requests: some
	// 1,000 bytes in 20 lines.
	ordinaryHeader = 8 << 10
)

// errNoMemory means that there is no room for a request in the server's memory.
var errNoMemory = errors.New("pipeline: no memory for the request")

// headerMemory is the memory that is reserved for the header of one request. It grows while the header
// is read.
type headerMemory struct {
	memory *budget.Memory
	scan   message.Header
	use    budget.Use
	n      int64
}

// add takes in the next bytes of the header, and reports whether there is room for them.
func (h *headerMemory) add(p []byte) bool {
	if h.scan.Ended || len(p) == 0 {
		return true
	}
	h.scan.Add(p)
	n := int64(h.scan.Bytes)*headerByteMemory + int64(h.scan.Lines)*headerLineMemory
	use := budget.Requests
	if n > ordinaryHeader {
		use = budget.LargeHeaders
	}
	if use == h.use {
		n -= h.n
		if !h.memory.Reserve(use, n) {
			return false
		}
		h.n += n
		return true
	}
	if !h.memory.Reserve(use, n) {
		return false
	}
	h.memory.Release(h.use, h.n)
	h.use, h.n = use, n
	return true
}

func (h *headerMemory) release() {
	h.memory.Release(h.use, h.n)
	h.n = 0
}

// exchangeMemory is the memory that is reserved for one request and its response. The body of the request
// may still be read when the exchange has ended.
type exchangeMemory struct {
	header headerMemory

	mu       sync.Mutex // guards the rest
	n        [len(budget.Uses)]int64
	trailer  int64 // of n
	released bool
}

// reserve reserves n more bytes, and reports whether there is room.
func (m *exchangeMemory) reserve(u budget.Use, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reserveLocked(u, n)
}

func (m *exchangeMemory) reserveLocked(u budget.Use, n int64) bool {
	if m.released || !m.header.memory.Reserve(u, n) {
		return false
	}
	m.n[u] += n
	return true
}

func (m *exchangeMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.released = true
	m.header.release()
	for _, u := range budget.Uses {
		m.header.memory.Release(u, m.n[u])
		m.n[u] = 0
	}
}

// reserveResponse reserves memory for n more bytes of a response that waits for its turn, and reports
// whether there is room. A buffer that grows holds twice its content.
func (m *exchangeMemory) reserveResponse(n int) bool { return m.reserve(budget.Answers, 2*int64(n)) }

// reserveTrailer reserves memory for the trailer fields of a request, as far as that has not been done,
// and reports whether there is room.
func (m *exchangeMemory) reserveTrailer(trailer http.Header) bool {
	if len(trailer) == 0 {
		return true
	}
	n := int64(0)
	for name, values := range trailer {
		n += headerLineMemory + int64(len(name))*headerByteMemory
		for _, v := range values {
			n += int64(len(v)) * headerByteMemory
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	more := max(n-m.trailer, 0)
	if !m.reserveLocked(budget.LargeHeaders, more) {
		return false
	}
	m.trailer += more
	return true
}

// reserve reserves the memory of a request, and reports whether there is room. A request behind others
// waits for their end rather than being rejected.
func (c *conn) reserve(e *exchange) bool {
	if !e.memory.reserveTrailer(e.req.Trailer) {
		return false
	}
	for !e.memory.reserve(budget.Requests, requestMemory) {
		if !c.awaitPending() {
			return false
		}
	}
	return true
}

// awaitPending waits until the pending requests are answered, and reports false if there are none or
// the client has left.
func (c *conn) awaitPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return false
	}
	defer c.watchHangup()()
	for len(c.pending) > 0 && !c.clientGone {
		c.pendingShrank.Wait()
	}
	return !c.clientGone
}

// Package budget bounds the memory that a process uses for the requests of its clients.
//
// What a request will cost is reserved before the memory is taken, and released when the request has
// ended. The costs are estimates of the live heap, made from what a client sends: a short header line
// takes many times its size once it is parsed.
package budget

import "sync/atomic"

// Use is what memory is reserved for.
type Use int

// The uses. Each has a share of the budget, so that no kind of request takes the room of all others.
const (
	// Requests are requests with ordinary headers.
	Requests Use = iota
	// LargeHeaders are the headers of requests that cost more than an ordinary one.
	LargeHeaders
	// Answers are answers to pipelined requests that wait for their turn.
	Answers
	// Bodies are request bodies that are kept for another attempt.
	Bodies
	uses
)

// Uses lists the uses.
var Uses = [...]Use{Requests, LargeHeaders, Answers, Bodies}

// String returns the name of a use in metrics and logs.
func (u Use) String() string { return names[u] }

var names = [uses]string{"requests", "large_headers", "answers", "bodies"}

// shares are the parts of the budget that each use may take. Those beside Requests leave a fifth of it
// to ordinary requests.
var shares = [uses]float64{Requests: 1, LargeHeaders: 0.4, Answers: 0.2, Bodies: 0.2}

// Memory is a budget in bytes. A nil Memory has no bound. It is safe for concurrent use.
type Memory struct {
	limit   int64
	used    atomic.Int64
	byUse   [uses]atomic.Int64
	refused [uses]atomic.Uint64
}

// NewMemory returns a budget of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Reserve reserves n bytes, and reports whether there is room for them.
func (m *Memory) Reserve(u Use, n int64) bool {
	if m == nil {
		return true
	}
	if m.byUse[u].Add(n) <= int64(shares[u]*float64(m.limit)) {
		if m.used.Add(n) <= m.limit {
			return true
		}
		m.used.Add(-n)
	}
	m.byUse[u].Add(-n)
	m.refused[u].Add(1)
	return false
}

// Release returns n reserved bytes.
func (m *Memory) Release(u Use, n int64) {
	if m == nil || n == 0 {
		return
	}
	m.byUse[u].Add(-n)
	m.used.Add(-n)
}

// Scarce reports whether more than half of the budget is in use. What can wait then does.
func (m *Memory) Scarce() bool { return m != nil && m.used.Load() > m.limit/2 }

// Limit returns the size of the budget in bytes; zero means no bound.
func (m *Memory) Limit() int64 {
	if m == nil {
		return 0
	}
	return m.limit
}

// Used returns how many bytes are reserved for a use.
func (m *Memory) Used(u Use) int64 {
	if m == nil {
		return 0
	}
	return m.byUse[u].Load()
}

// Refused returns how often there was no room for a use.
func (m *Memory) Refused(u Use) uint64 {
	if m == nil {
		return 0
	}
	return m.refused[u].Load()
}

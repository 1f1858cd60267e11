package quarantine

import (
	"sync"
	"time"
)

// RunResult is how a run at a backend server ended.
type RunResult uint8

const (
	// Answered means that the backend server sent a complete answer.
	Answered RunResult = iota + 1
	// Broken means that the connection broke before the answer was complete.
	Broken
	// Dropped means that the request was not run, or was cancelled.
	Dropped
)

// Token identifies one run in flight. The zero Token is valid and ignored.
type Token struct {
	t       *tracker
	fp      Fingerprint
	index   int
	suspect bool
}

// Request describes a request for operators, without its query.
type Request struct{ Method, Host, Path string }

// String returns the request line, as in "POST berths/bookings".
func (r Request) String() string { return r.Method + " " + r.Host + r.Path }

// run is a request in flight at a backend server, or one whose connection broke recently.
type run struct {
	fp      Fingerprint
	request Request
	used    bool
	brokeAt time.Time // zero while in flight
}

// tracker records the requests in flight at one backend server. Its lock is never held across I/O,
// and only calls to this backend server contend for it.
type tracker struct {
	window time.Duration // how long a broken run is kept

	mu      sync.Mutex
	runs    []run
	free    []int
	suspect bool // a suspect is in flight
	// absentSince is when the backend server was first seen absent, or zero.
	absentSince time.Time
}

// start records a run. It refuses a suspect while another one is in flight.
func (t *tracker) start(now time.Time, fp Fingerprint, request Request, suspect bool) (Token, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if suspect && t.suspect {
		return Token{}, false
	}
	t.suspect = t.suspect || suspect
	if len(t.free) == 0 {
		t.dropExpired(now)
	}
	i := t.allocate()
	t.runs[i] = run{fp: fp, request: request, used: true}
	return Token{t: t, fp: fp, index: i, suspect: suspect}, true
}

func (t *tracker) allocate() int {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	t.runs = append(t.runs, run{})
	return len(t.runs) - 1
}

// finish ends a run. A broken one is kept for the window, since the node detects a crash only after
// the connections broke.
func (t *tracker) finish(now time.Time, tok Token, end RunResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tok.suspect {
		t.suspect = false
	}
	if end == Broken {
		t.runs[tok.index].brokeAt = now
		return
	}
	t.release(tok.index)
}

func (t *tracker) release(i int) {
	t.runs[i] = run{}
	t.free = append(t.free, i)
}

// dropExpired removes runs that broke longer than the window ago. The caller holds mu.
func (t *tracker) dropExpired(now time.Time) {
	for i := range t.runs {
		r := &t.runs[i]
		if r.used && !r.brokeAt.IsZero() && now.Sub(r.brokeAt) > t.window {
			t.release(i)
		}
	}
}

// removable reports whether the backend server has been absent for longer than the window, with no
// run in flight or broken within the window.
func (t *tracker) removable(now time.Time, present bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if present {
		t.absentSince = time.Time{}
		return false
	}
	if t.absentSince.IsZero() {
		t.absentSince = now
	}
	t.dropExpired(now)
	return now.Sub(t.absentSince) > t.window && len(t.free) == len(t.runs)
}

// runFilter selects the runs that a crash is attributed to.
type runFilter bool

const (
	// brokenOnly selects the runs whose connections broke.
	brokenOnly runFilter = false
	// includeOpen also selects the open runs, whose connections are about to break.
	includeOpen runFilter = true
)

// crashed returns the runs in flight when the backend server crashed, one per fingerprint. Open
// runs stay recorded until they finish, but count for one crash only.
func (t *tracker) crashed(now time.Time, w runFilter) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	var out []run
	seen := map[Fingerprint]bool{}
	for i := range t.runs {
		r := t.runs[i]
		if !r.used || r.fp == (Fingerprint{}) || (w == brokenOnly && r.brokeAt.IsZero()) {
			continue
		}
		if !seen[r.fp] {
			seen[r.fp] = true
			out = append(out, r)
		}
		if r.brokeAt.IsZero() {
			t.runs[i].fp = Fingerprint{}
			continue
		}
		t.release(i)
	}
	return out
}

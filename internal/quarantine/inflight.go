package quarantine

import (
	"sync"
	"time"
)

// RunResult is how a run at a backend server ended.
type RunResult uint8

const (
	// Answered means that the backend server answered whole.
	Answered RunResult = iota + 1
	// Broken means that the connection broke before the answer was whole.
	Broken
	// Dropped means that the request was not run, or was cancelled.
	Dropped
)

// Token stands for one run in flight. The zero Token is allowed and ignored.
type Token struct {
	t       *tracker
	fp      Fingerprint
	index   int
	suspect bool
}

// Request names a request for operators, without its query.
type Request struct{ Method, Host, Path string }

// String returns the request as in "POST berths/bookings".
func (r Request) String() string { return r.Method + " " + r.Host + r.Path }

// run is one request in flight at a backend server, or one whose connection
// broke a moment ago.
type run struct {
	fp      Fingerprint
	what    Request
	used    bool
	brokeAt time.Time // zero while in flight
}

// tracker notes what is in flight at one backend server. Its lock is held for
// a few steps and never across I/O; only the calls to this one backend server
// meet there.
type tracker struct {
	window time.Duration // how long a broken run is kept

	mu      sync.Mutex
	runs    []run
	free    []int
	suspect bool // a suspect is in flight
	// goneSince is when its backend server was first seen absent, or zero.
	goneSince time.Time
}

// start notes a run. It refuses a suspect while another is in flight.
func (t *tracker) start(now time.Time, fp Fingerprint, what Request, suspect bool) (Token, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if suspect && t.suspect {
		return Token{}, false
	}
	t.suspect = t.suspect || suspect
	if len(t.free) == 0 {
		t.sweep(now)
	}
	i := t.slot()
	t.runs[i] = run{fp: fp, what: what, used: true}
	return Token{t: t, fp: fp, index: i, suspect: suspect}, true
}

func (t *tracker) slot() int {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	t.runs = append(t.runs, run{})
	return len(t.runs) - 1
}

// finish ends a run. A broken one is kept for the window, because the node
// learns of the crash only after the connections broke.
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

// sweep forgets runs that broke longer than its window ago. The caller holds mu.
func (t *tracker) sweep(now time.Time) {
	for i := range t.runs {
		r := &t.runs[i]
		if r.used && !r.brokeAt.IsZero() && now.Sub(r.brokeAt) > t.window {
			t.release(i)
		}
	}
}

// outlived reports whether the backend server has been absent for longer than the
// window, and nothing of it is in flight or broke within the window.
func (t *tracker) outlived(now time.Time, present bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if present {
		t.goneSince = time.Time{}
		return false
	}
	if t.goneSince.IsZero() {
		t.goneSince = now
	}
	t.sweep(now)
	return now.Sub(t.goneSince) > t.window && len(t.free) == len(t.runs)
}

// which are the runs that a crash is laid to.
type which bool

const (
	// brokenOnly takes the runs whose connections broke.
	brokenOnly which = false
	// withOpen takes those still open too, whose connections are about to
	// break.
	withOpen which = true
)

// crashed returns what was in flight when the backend server crashed, each
// fingerprint once. Runs still open stay noted until they are finished, but a
// crash counts them once only.
func (t *tracker) crashed(now time.Time, w which) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
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

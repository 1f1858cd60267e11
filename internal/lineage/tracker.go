// Package lineage finds the root of a nested call: the call at the beginning of its chain, on whose
// behalf a backend server makes it.
//
// A Tracker knows the calls that the backend servers of one VM run. It takes the time as an argument
// and starts no goroutines.
package lineage

import (
	"strconv"
	"sync"
	"time"
)

// Root is the call at the beginning of a chain of calls.
type Root struct {
	Class string
	// Workspace is the workspace of the root's caller, or empty.
	Workspace string
	// Priority is that of the workspace, or else that of the class.
	Priority int
	// ClassPriority is that of the class.
	ClassPriority int
	Deadline      time.Time
	// Retried reports that the root or a call between the root and the nested call is a retry. Of
	// several candidates, one that is a retry suffices, so that the bound on retries holds.
	Retried bool
}

// Call is a call that a backend server is about to run.
type Call struct {
	Class string
	// Root is the call itself unless it is nested.
	Root Root
}

// Token identifies a running call of a Tracker.
type Token uint64

// Tracker holds the running calls of the backend servers of one VM. It learns which classes make
// calls of which other classes. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	next    Token
	byToken map[Token]*run
	classes map[string]*runningClass
	// active is the number of classes with running calls.
	active int
	calls  map[string]*arrivals // by class of the nested call
	// idle is how long no call ran.
	idle      time.Duration
	last      time.Time // of the last change of the running calls
	agedAt    time.Time
	makers    []*runningClass // scratch
	withRoots Stats
}

// Stats counts the presumed nested calls by what is known of their roots.
type Stats struct {
	// Exact counts the calls with one candidate, or with candidates that do not differ in class,
	// workspace and priority.
	Exact uint64
	// Bounded counts the calls that got the most urgent of several candidates.
	Bounded uint64
	// Unknown counts the calls without a candidate.
	Unknown uint64
}

// run is a running call.
type run struct {
	token Token
	class *runningClass
	index int // in class.runs
	root  Root
	// made counts the nested calls that were attributed to the run.
	made int
}

// runningClass is a class of calls that backend servers of the VM run.
type runningClass struct {
	runs []*run
	// alone is how long calls of no other class ran. callTime is the same, multiplied by the number
	// of calls that ran.
	alone, callTime time.Duration
}

// arrivals counts the calls of one class that entered at the VM.
type arrivals struct {
	// idle counts those that came while no call ran.
	idle float64
	// during counts those that came while calls of one class only ran.
	during map[*runningClass]float64
}

// NewTracker returns an empty Tracker. first is the token of the first call; a random number keeps
// tokens of an earlier process from naming calls of this one.
func NewTracker(first uint64) *Tracker {
	return &Tracker{
		next: Token(first), byToken: make(map[Token]*run), classes: make(map[string]*runningClass), calls: make(map[string]*arrivals),
	}
}

// Begin records a call that is about to be sent to its backend server.
func (t *Tracker) Begin(now time.Time, c Call) Token {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	class := t.classes[c.Class]
	if class == nil {
		class = new(runningClass)
		t.classes[c.Class] = class
	}
	t.next++
	r := &run{token: t.next, class: class, index: len(class.runs), root: c.Root}
	if r.index == 0 {
		t.active++
	}
	class.runs = append(class.runs, r)
	t.byToken[r.token] = r
	return r.token
}

// End records that a call has ended. It does nothing for a call that has ended before.
func (t *Tracker) End(now time.Time, token Token) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byToken[token]
	if r == nil {
		return
	}
	t.advance(now)
	delete(t.byToken, token)
	runs := r.class.runs
	last := len(runs) - 1
	runs[r.index] = runs[last]
	runs[r.index].index = r.index
	runs[last] = nil
	r.class.runs = runs[:last]
	if last == 0 {
		t.active--
	}
}

// Root returns the root of a call that entered at this VM without a key. nested reports that the
// call is presumed to come from a backend server of the VM; otherwise the arrivals alone decide. ok
// is false if the root is not known.
func (t *Tracker) Root(now time.Time, class string, nested bool) (root Root, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.advance(now)
	a := t.record(class)
	chosen, exact := t.candidate(t.makersOf(a, nested))
	switch {
	case chosen == nil:
		if nested {
			t.withRoots.Unknown++
		}
		return Root{}, false
	case exact:
		t.withRoots.Exact++
	default:
		t.withRoots.Bounded++
	}
	chosen.made++
	root = chosen.root
	root.Retried = t.anyRetried()
	return root, true
}

// candidate returns the most urgent running call of the classes in makers, or nil. Among equals, it
// is the one with the fewest nested calls so far, then the first that began. exact reports that all
// candidates agree in class, workspace and priority.
func (t *Tracker) candidate(makers []*runningClass) (best *run, exact bool) {
	exact = true
	for _, class := range makers {
		for _, r := range class.runs {
			if best == nil {
				best = r
				continue
			}
			a, b := &r.root, &best.root
			exact = exact && a.Class == b.Class && a.Workspace == b.Workspace && a.Priority == b.Priority && a.ClassPriority == b.ClassPriority
			if r.before(best) {
				best = r
			}
		}
	}
	return best, exact
}

func (r *run) before(o *run) bool {
	if r.root.Priority != o.root.Priority {
		return r.root.Priority > o.root.Priority
	}
	if r.root.ClassPriority != o.root.ClassPriority {
		return r.root.ClassPriority > o.root.ClassPriority
	}
	if r.made != o.made {
		return r.made < o.made
	}
	return r.token < o.token
}

// anyRetried reports whether a candidate of the last nested call is a retry.
func (t *Tracker) anyRetried() bool {
	for _, class := range t.makers {
		for _, r := range class.runs {
			if r.root.Retried {
				return true
			}
		}
	}
	return false
}

// Header returns the value with which a backend server names a running call in its nested calls. It
// states nothing about the call.
func (t *Tracker) Header(token Token) string { return strconv.FormatUint(uint64(token), 36) }

// Named returns the root of the running call that a nested call names. ok is false if the value is
// malformed or the call has ended.
func (t *Tracker) Named(value string) (root Root, ok bool) {
	token, err := strconv.ParseUint(value, 36, 64)
	if err != nil {
		return Root{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byToken[Token(token)]
	if r == nil {
		return Root{}, false
	}
	r.made++
	t.withRoots.Exact++
	return r.root, true
}

// Stats returns the counts since the start.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withRoots
}

package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is what a node holds true of a request.
type Kind string

const (
	// KindSuspect requests were in flight at a crash.
	KindSuspect Kind = "suspect-request"
	// KindQuarantined requests were in flight at two crashes and are not run.
	KindQuarantined Kind = "quarantined-request"
	// KindLifted requests were cleared by an answer or by an operator. The
	// crashes counted until then no longer count.
	KindLifted Kind = "lifted-request"
)

// scoreToQuarantine is the weight of crashes that proves a request bad.
const scoreToQuarantine = 2

// maxCrashes bounds the crashes kept with an entry, and maxLifted the lifted
// ones.
const (
	maxCrashes = 8
	maxLifted  = 32
)

// Crash is one crash of a backend server with a request in flight.
type Crash struct {
	// ID is unique in the mesh: VM, backend server and moment.
	ID string `json:"id"`
	// AnsweredBefore says that the request had been answered at that node before. Many
	// callers send such a request, so that it is beside every bad one.
	AnsweredBefore bool `json:"known,omitempty"`
	// Conclusive says that the node knew of an earlier crash with the request and
	// had no answer to it since.
	Conclusive bool `json:"proof,omitempty"`
}

func (c Crash) score() int {
	switch {
	case c.Conclusive:
		return scoreToQuarantine
	case c.AnsweredBefore:
		return 0
	}
	return 1
}

// Entry is a request that is not like the others. It is immutable. Its Kind
// follows from the crashes that count, so that nodes which heard of the same
// crashes and lifts hold the same, in whatever order they heard.
type Entry struct {
	Fingerprint Fingerprint
	Kind        Kind
	RequestLine string   // method, host and path, for operators
	Crashes     []Crash  // those that count, by ID
	Lifted      []string // short forms of crashes that no longer count, sorted
	Expires     time.Time
	LiftedBy    string // who lifted it: "answered", or an operator
}

func (e *Entry) expired(now time.Time) bool { return !now.Before(e.Expires) }

func (e *Entry) liftedByOperator() bool { return e.Kind == KindLifted && e.LiftedBy != byAnswer }

// isolated reports whether the request runs at one place at a time. One that
// was answered before is not: the most asked for lookup of a service is beside
// every bad request, and a single endpoint could not run it for all callers.
func (e *Entry) isolated() bool { return e.Kind == KindSuspect && score(e.Crashes) > 0 }

func score(cs []Crash) int {
	sum := 0
	for _, c := range cs {
		sum += c.score()
	}
	return sum
}

func kindFor(cs []Crash) Kind {
	switch {
	case len(cs) == 0:
		return KindLifted
	case score(cs) >= scoreToQuarantine:
		return KindQuarantined
	}
	return KindSuspect
}

// with returns the entry with more crashes and lifts.
func (e *Entry) with(crashes []Crash, lifted []string) *Entry {
	n := *e
	n.Lifted = unionLifted(e.Lifted, lifted)
	n.Crashes = unionCrashes(e.Crashes, crashes, n.Lifted)
	n.Kind = kindFor(n.Crashes)
	return &n
}

func unionLifted(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	out = slices.Compact(out)
	return out[max(0, len(out)-maxLifted):]
}

// unionCrashes returns the crashes of both without the lifted ones.
func unionCrashes(a, b []Crash, lifted []string) []Crash {
	out := slices.Concat(a, b)
	slices.SortFunc(out, func(x, y Crash) int { return cmp.Compare(x.ID, y.ID) })
	out = slices.CompactFunc(out, func(x, y Crash) bool { return x.ID == y.ID })
	out = slices.DeleteFunc(out, func(c Crash) bool { return slices.Contains(lifted, lift(c.ID)) })
	return out[max(0, len(out)-maxCrashes):]
}

// lifts returns the short forms of the crashes, as they are lifted.
func (e *Entry) lifts() []string {
	out := make([]string, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		out = append(out, lift(c.ID))
	}
	return out
}

// crashedAt takes the endpoints from the crash IDs, which end in the moment.
func (e *Entry) crashedAt() []string {
	out := make([]string, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		if i := strings.LastIndexByte(c.ID, '/'); i > 0 {
			out = append(out, c.ID[:i])
		}
	}
	return out
}

// same reports whether o adds nothing to e.
func (e *Entry) same(o *Entry) bool {
	return slices.Equal(e.Crashes, o.Crashes) && slices.Equal(e.Lifted, o.Lifted)
}

package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is the state of a request in the List.
type Kind string

const (
	// KindSuspect requests were in flight at a crash.
	KindSuspect Kind = "suspect-request"
	// KindQuarantined requests were in flight at two crashes and are refused.
	KindQuarantined Kind = "quarantined-request"
	// KindLifted requests were cleared by an answer or an operator. The crashes up to then no
	// longer count.
	KindLifted Kind = "lifted-request"
)

// quarantineScore is the total crash score at which a request is quarantined.
const quarantineScore = 2

// maxCrashes and maxLifted bound the crashes and lifted crashes of an entry.
const (
	maxCrashes = 8
	maxLifted  = 32
)

// Crash is one crash of a backend server with a request in flight.
type Crash struct {
	// ID is unique in the mesh: VM, backend server and time.
	ID string `json:"id"`
	// AnsweredBefore means that the node had answered the request before. Many callers send such a
	// request, so it is often in flight beside a bad one.
	AnsweredBefore bool `json:"known,omitempty"`
	// Conclusive means that the node knew of an earlier crash with the request and of no answer
	// since.
	Conclusive bool `json:"proof,omitempty"`
}

func (c Crash) score() int {
	switch {
	case c.Conclusive:
		return quarantineScore
	case c.AnsweredBefore:
		return 0
	}
	return 1
}

// Entry is the record of a suspected, quarantined or lifted request. It is immutable. Kind depends
// only on the crashes that count, so nodes that received the same crashes and lifts agree, in
// whatever order they received them.
type Entry struct {
	Fingerprint Fingerprint
	Kind        Kind
	RequestLine string   // method, host and path, for operators
	Crashes     []Crash  // crashes that count, ordered by ID
	Lifted      []string // short IDs of crashes that no longer count, sorted
	Expires     time.Time
	LiftedBy    string // "answered" or the name of an operator
}

func (e *Entry) expired(now time.Time) bool { return !now.Before(e.Expires) }

func (e *Entry) liftedByOperator() bool { return e.Kind == KindLifted && e.LiftedBy != liftedByAnswer }

// isolated reports whether the request must run at one endpoint at a time. A request that was
// answered before need not: the most frequent lookup of a service is in flight beside every bad
// request, and one endpoint could not run it for all callers.
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
	case score(cs) >= quarantineScore:
		return KindQuarantined
	}
	return KindSuspect
}

// withCrashes returns a copy of the entry with more crashes and lifts.
func (e *Entry) withCrashes(crashes []Crash, lifted []string) *Entry {
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

// unionCrashes returns the crashes of a and b without the lifted ones.
func unionCrashes(a, b []Crash, lifted []string) []Crash {
	out := slices.Concat(a, b)
	slices.SortFunc(out, func(x, y Crash) int { return cmp.Compare(x.ID, y.ID) })
	out = slices.CompactFunc(out, func(x, y Crash) bool { return x.ID == y.ID })
	out = slices.DeleteFunc(out, func(c Crash) bool { return slices.Contains(lifted, shortCrashID(c.ID)) })
	return out[max(0, len(out)-maxCrashes):]
}

// shortCrashIDs returns the short IDs of the entry's crashes, as used in lifts.
func (e *Entry) shortCrashIDs() []string {
	out := make([]string, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		out = append(out, shortCrashID(c.ID))
	}
	return out
}

// crashedAt returns the endpoints at which the request crashed a backend server: the crash IDs
// without the time.
func (e *Entry) crashedAt() []string {
	out := make([]string, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		if i := strings.LastIndexByte(c.ID, '/'); i > 0 {
			out = append(out, c.ID[:i])
		}
	}
	return out
}

// sameCrashes reports whether e and o have the same crashes and lifts.
func (e *Entry) sameCrashes(o *Entry) bool {
	return slices.Equal(e.Crashes, o.Crashes) && slices.Equal(e.Lifted, o.Lifted)
}

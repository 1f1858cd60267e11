package rollout

import (
	"slices"
	"time"
)

// GrantKind says what servers of the target version take.
type GrantKind uint8

// Kinds of grant.
const (
	GrantNone    GrantKind = iota
	GrantLimited           // Calls of them, until the grant lapses
	GrantOpen              // any calls, until the grant lapses
)

// Grant is what a conductor allows a node beside a server of the target version.
type Grant struct {
	Kind  GrantKind
	Calls int
	// TTL is how long the grant lasts without another.
	TTL time.Duration
}

// Instruction is what a conductor tells a node.
type Instruction struct {
	Service string
	Order   uint64
	Target  string
	Token   uint64 // fencing token of the conductor's lease
	Phase   Phase
	// Replaced is that of the record.
	Replaced []string
	Grant    Grant
}

// Admission is what a server of some version takes.
type Admission struct {
	Open bool
	// Limit bounds the calls that begin, where Limited is set.
	Limited bool
	Limit   int
	// Until is when the admission lapses; zero if it doesn't.
	Until time.Time
}

// AdmissionController decides what the servers of one service beside a node take, by their version.
// It isn't safe for concurrent use.
type AdmissionController struct {
	record Record
	token  uint64
	grant  Grant
	until  time.Time // when the grant lapses

	// heard is when a conductor or the table last told of the service.
	heard time.Time
	// settled says that the table was read since a server was met whose version
	// another server of the service doesn't have.
	settled bool
}

// How long a Guard does without a word.
const (
	// askEvery is the time between two reads of the table while a server is held.
	askEvery = 5 * time.Second
	// patience is how long a server waits for the first read to succeed, where no
	// other version is in service that could take the calls instead.
	patience = 3 * time.Second
)

// Apply takes in what a conductor says. It reports whether that was news, and not the
// word of one whose lease another has taken since.
func (g *AdmissionController) Apply(now time.Time, i Instruction) bool {
	if i.Order < g.record.Order || i.Order == g.record.Order && i.Token < g.token {
		return false
	}
	if i.Order == g.record.Order && g.record.Phase.Final() && i.Phase != g.record.Phase {
		return false
	}
	next := Record{Order: i.Order, Target: i.Target, Phase: i.Phase, Replaced: i.Replaced, Rejected: g.record.Rejected}
	if i.Order > g.record.Order {
		next.Rejected = g.record.begin(Order{Target: i.Target, Revision: i.Order}, now).Rejected
	}
	g.record, g.token, g.grant, g.heard = next, i.Token, i.Grant, now
	g.until = now.Add(i.Grant.TTL)
	g.settled = true
	return true
}

// ApplyTable takes in what the table holds: the newest order, and the record, which may be
// of an earlier one or empty.
func (g *AdmissionController) ApplyTable(now time.Time, o Order, r Record) {
	g.settled, g.heard = true, now
	if o.Revision > r.Order {
		r = r.begin(o, now)
	}
	if r.Order < g.record.Order || r.Order == g.record.Order && g.record.Phase.Final() {
		return
	}
	if r.Order > g.record.Order {
		g.token, g.grant = 0, Grant{}
	}
	g.record = r
}

// Record returns what the guard goes by.
func (g *AdmissionController) Record() Record { return g.record }

// OtherVersions says what other servers of the service a node sees.
type OtherVersions struct {
	// Present says that some have another version.
	Present bool
	// Ready says that some of those take calls.
	Ready bool
	// FirstSeen is when the server was first met without an answer of the table.
	FirstSeen time.Time
}

// Admit returns what a server takes.
//
// A server whose version isn't the only one of its service waits until the table was
// read: it may belong to a rollout that this node, which has perhaps just started,
// hasn't heard of.
func (g *AdmissionController) Admit(now time.Time, version string, m OtherVersions) Admission {
	open := Admission{Open: true}
	switch {
	case version == "":
		return open
	case g.record.Order == 0:
		if g.settled || !m.Present || !m.Ready && now.Sub(m.FirstSeen) >= patience {
			return open
		}
		return Admission{}
	case version == g.record.Target:
		return g.admitTarget(now)
	case slices.Contains(g.record.Rejected, version):
		return Admission{}
	case g.record.Phase == Draining || g.record.Phase == Completed:
		return Admission{Open: !slices.Contains(g.record.Replaced, version)}
	}
	return open
}

func (g *AdmissionController) admitTarget(now time.Time) Admission {
	switch {
	case g.record.Phase == Completed:
		return Admission{Open: true}
	case g.record.Phase == RolledBack || g.grant.Kind == GrantNone:
		return Admission{}
	case g.record.Phase == Draining:
		// The baseline takes no calls any more, whether a conductor is there or not.
		return Admission{Open: true}
	case !now.Before(g.until):
		return Admission{}
	case g.grant.Kind == GrantLimited:
		return Admission{Open: true, Limited: true, Limit: g.grant.Calls, Until: g.until}
	}
	return Admission{Open: true, Until: g.until}
}

// NextTableRead returns when the table should be read for a server that is held, and false if it
// needn't be.
func (g *AdmissionController) NextTableRead(version string, m OtherVersions) (time.Time, bool) {
	switch {
	case version == "" || g.record.Phase.Final() || g.record.Order == 0 && (g.settled || !m.Present):
		return time.Time{}, false
	case g.heard.IsZero():
		return m.FirstSeen, true
	}
	return g.heard.Add(askEvery), true
}

package rollout

import (
	"slices"
	"time"
)

// GrantKind is the kind of calls that a grant allows.
type GrantKind uint8

// Kinds of grant.
const (
	GrantNone    GrantKind = iota
	GrantLimited           // Grant.Calls calls, until the grant expires
	GrantOpen              // any number of calls, until the grant expires
)

// Grant allows a server of the target version to take calls.
type Grant struct {
	Kind  GrantKind
	Calls int
	// TTL is how long the grant lasts unless it is renewed.
	TTL time.Duration
}

// Instruction is a message of a coordinator to a node.
type Instruction struct {
	Service string
	Order   uint64
	Target  string
	Token   uint64 // fencing token of the coordinator's lease
	Phase   Phase
	// Replaced is Record.Replaced.
	Replaced []string
	Grant    Grant
}

// Admission states which calls a server takes.
type Admission struct {
	Open bool
	// Limit bounds the calls that start, if Limited is set.
	Limited bool
	Limit   int
	// Until is when the admission expires, or zero if it does not.
	Until time.Time
}

// AdmissionController decides which calls the servers of one service beside a node take, by
// version. It is not safe for concurrent use.
type AdmissionController struct {
	record Record
	token  uint64
	grant  Grant
	until  time.Time // expiry of the grant

	// updatedAt is when the state was last updated: the time of an instruction, or of the start of the
	// read of the table.
	updatedAt time.Time
}

// Times of an AdmissionController without an update.
const (
	// tableReadInterval is the time between reads of the table while a server is not admitted.
	tableReadInterval = 5 * time.Second
	// maxUnknownWait is how long a server waits for the first read to succeed, if no other version
	// is in service that could take the calls instead.
	maxUnknownWait = 3 * time.Second
	// maxStaleness is how old the answer to a read may be. A server beside those of another version
	// needs a read without an order that began so long after it was first seen.
	maxStaleness = 3 * time.Second
	// readAhead is how long before a server is first seen a read may have started and still cover it:
	// a node reads when it starts, before it has heard of its server.
	readAhead = time.Second
)

// Apply applies an instruction of a coordinator. It returns false for an outdated one, such as that
// of a coordinator whose lease another has taken since.
func (c *AdmissionController) Apply(now time.Time, i Instruction) bool {
	if i.Order < c.record.Order || i.Order == c.record.Order && i.Token < c.token {
		return false
	}
	if i.Order == c.record.Order && c.record.Phase.Final() && i.Phase != c.record.Phase {
		return false
	}
	next := Record{Order: i.Order, Target: i.Target, Phase: i.Phase, Replaced: i.Replaced, Rejected: c.record.Rejected}
	if i.Order > c.record.Order {
		next.Rejected = c.record.nextOrder(Order{Target: i.Target, Revision: i.Order}, now).Rejected
	}
	c.record, c.token, c.grant, c.updatedAt = next, i.Token, i.Grant, now
	c.until = now.Add(i.Grant.TTL)
	return true
}

// ApplyTable applies the contents of the table, the read of which started at now: the newest order,
// and the record, which may be that of an earlier order or empty.
func (c *AdmissionController) ApplyTable(now time.Time, o Order, r Record) {
	c.updatedAt = now
	if o.Revision > r.Order {
		r = r.nextOrder(o, now)
	}
	if r.Order < c.record.Order || r.Order == c.record.Order && c.record.Phase.Final() {
		return
	}
	if r.Order > c.record.Order {
		c.token, c.grant = 0, Grant{}
	}
	c.record = r
}

// Record returns the current record.
func (c *AdmissionController) Record() Record { return c.record }

// OrderKnown reports whether a coordinator or the table has told whether there is an order.
func (c *AdmissionController) OrderKnown() bool { return !c.updatedAt.IsZero() }

// OtherVersions describes what a node sees beside a server.
type OtherVersions struct {
	// Present is set if there are servers of other versions, Ready if some of them take calls.
	Present, Ready bool
	// Complete is set if the node sees all nodes of the mesh.
	Complete bool
	// Unannounced is set if the server's own version is not known yet.
	Unannounced bool
	// FirstSeen is when the server was first seen.
	FirstSeen time.Time
}

// Admit returns which calls a server takes.
//
// A server whose standing is not known takes none: it may belong to a rollout that this node does not
// know of, for example because it has just started. Its standing is known from a record that names its
// version, from a read of the table, or from a complete view without another version.
func (c *AdmissionController) Admit(now time.Time, version string, others OtherVersions) Admission {
	open := Admission{Open: true}
	switch {
	case others.Unannounced:
		return Admission{Open: c.record.Order == 0 && c.covers(others)}
	case version == "":
		return open
	case version == c.record.Target:
		return c.admitTarget(now)
	case slices.Contains(c.record.Rejected, version):
		return Admission{}
	case (c.record.Phase == Draining || c.record.Phase == Completed) && slices.Contains(c.record.Replaced, version):
		return Admission{}
	}
	return Admission{Open: c.standingKnown(now, others)}
}

// covers reports whether the last update tells of all orders that there were when a server was first
// seen.
func (c *AdmissionController) covers(others OtherVersions) bool {
	return !c.updatedAt.IsZero() && !c.updatedAt.Add(readAhead).Before(others.FirstSeen)
}

// standingKnown reports whether it is known that no rollout concerns a server, or no other server
// could take its calls.
func (c *AdmissionController) standingKnown(now time.Time, others OtherVersions) bool {
	switch {
	case !others.Present && others.Complete:
		return true
	case !others.Ready && now.Sub(others.FirstSeen) >= maxUnknownWait:
		return true
	case !c.covers(others):
		return false
	}
	return c.record.Order != 0 || !others.Ready || c.updatedAt.Sub(others.FirstSeen) >= maxStaleness
}

func (c *AdmissionController) admitTarget(now time.Time) Admission {
	switch {
	case c.record.Phase == Completed:
		return Admission{Open: true}
	case c.record.Phase == RolledBack || c.grant.Kind == GrantNone:
		return Admission{}
	case c.record.Phase == Draining:
		// The baseline takes no calls any more, with or without a coordinator.
		return Admission{Open: true}
	case !now.Before(c.until):
		return Admission{}
	case c.grant.Kind == GrantLimited:
		return Admission{Open: true, Limited: true, Limit: c.grant.Calls, Until: c.until}
	}
	return Admission{Open: true, Until: c.until}
}

// NextTableRead returns when the table should be read for a server that is not admitted, and false
// if no read is needed.
func (c *AdmissionController) NextTableRead(version string, others OtherVersions) (time.Time, bool) {
	switch {
	case version == "" && !others.Unannounced:
		return time.Time{}, false
	case !c.covers(others):
		return others.FirstSeen, true
	case c.record.Order == 0:
		return others.FirstSeen.Add(maxStaleness), true
	case c.record.Phase.Final():
		return time.Time{}, false
	}
	return c.updatedAt.Add(tableReadInterval), true
}

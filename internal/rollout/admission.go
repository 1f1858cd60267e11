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

	// updatedAt is when the state was last updated by a coordinator or from the table.
	updatedAt time.Time
	// tableRead is set once the table was read, or an instruction was applied, after a server was
	// seen whose version differs from that of another server of the service.
	tableRead bool
}

// Times of an AdmissionController without an update.
const (
	// tableReadInterval is the time between reads of the table while a server is not admitted.
	tableReadInterval = 5 * time.Second
	// maxUnknownWait is how long a server waits for the first read to succeed, if no other version
	// is in service that could take the calls instead.
	maxUnknownWait = 3 * time.Second
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
	c.tableRead = true
	return true
}

// ApplyTable applies the contents of the table: the newest order, and the record, which may be that
// of an earlier order or empty.
func (c *AdmissionController) ApplyTable(now time.Time, o Order, r Record) {
	c.tableRead, c.updatedAt = true, now
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

// OtherVersions describes the servers of other versions of the service that a node sees.
type OtherVersions struct {
	// Present is set if there are any.
	Present bool
	// Ready is set if some of them take calls.
	Ready bool
	// FirstSeen is when the server was first seen before the table was read.
	FirstSeen time.Time
}

// Admit returns which calls a server takes.
//
// If other servers of the service have another version, the server waits until the table was read.
// It may belong to a rollout that this node does not know of, for example because it has just
// started.
func (c *AdmissionController) Admit(now time.Time, version string, others OtherVersions) Admission {
	open := Admission{Open: true}
	switch {
	case version == "":
		return open
	case c.record.Order == 0:
		if c.tableRead || !others.Present || !others.Ready && now.Sub(others.FirstSeen) >= maxUnknownWait {
			return open
		}
		return Admission{}
	case version == c.record.Target:
		return c.admitTarget(now)
	case slices.Contains(c.record.Rejected, version):
		return Admission{}
	case c.record.Phase == Draining || c.record.Phase == Completed:
		return Admission{Open: !slices.Contains(c.record.Replaced, version)}
	}
	return open
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
	case version == "" || c.record.Phase.Final() || c.record.Order == 0 && (c.tableRead || !others.Present):
		return time.Time{}, false
	case c.updatedAt.IsZero():
		return others.FirstSeen, true
	}
	return c.updatedAt.Add(tableReadInterval), true
}

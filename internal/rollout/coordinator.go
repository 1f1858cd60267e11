package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Server is a backend server of the service, as the coordinator's node sees it.
type Server struct {
	VM, Instance, Version string
	// Reachable is false while the server's node is suspected.
	Reachable bool
	// Draining is set once the server has announced that it leaves.
	Draining bool
}

// key identifies the server.
func (s Server) key() string { return s.VM + "/" + s.Instance }

// ServerReport is a node's report on one of its servers.
type ServerReport struct {
	VM, Instance, Version string
	InFlight              int
	Held                  bool
	Counts                map[string]Counts
}

// Message is an instruction for the node of a VM.
type Message struct {
	VM string
	Instruction
}

// Settings are the settings of a Coordinator.
type Settings struct {
	// Share is the fraction of the service's calls that the canaries get.
	Share float64
	// Tick is the time between two steps.
	Tick time.Duration
	// GrantTTL is how long a grant lasts.
	GrantTTL time.Duration
	// BakeTime is how long all servers of the target version take calls beside the baseline, before
	// the baseline drains.
	BakeTime time.Duration
	// FinishReserve is the part of the time limit reserved for opening all servers, draining and
	// writing.
	FinishReserve time.Duration
	// RollbackReserve is how long before its time limit a rollout without enough evidence is rolled
	// back.
	RollbackReserve time.Duration
}

// Defaults returns the settings for production.
func Defaults() Settings {
	return Settings{
		Share: 0.06, Tick: 500 * time.Millisecond, GrantTTL: 1500 * time.Millisecond,
		BakeTime: 1200 * time.Millisecond, FinishReserve: 6 * time.Second, RollbackReserve: time.Second,
	}
}

const (
	// minCanaries is the number of canaries of a version that has as many servers: a single one
	// can't be distinguished from a faulty server.
	minCanaries = 3
	// maxCanaries and maxBaseline bound the servers of each version whose counts are compared.
	maxCanaries = 12
	maxBaseline = 24
	// minCanaryCalls is the number of calls that the canaries must have answered before the
	// baseline drains. If a quarter of the calls that they may get is less, that quarter suffices,
	// but no less than minCanaryCallsLowRate.
	minCanaryCalls        = 60
	minCanaryCallsLowRate = 12
	// minServerRatio is the number of servers of the target version, as a fraction of the
	// baseline's, that must be there before it takes all calls.
	minServerRatio = 0.7
	// initialCalls is the grant of a canary while the call rate of the service is unknown.
	initialCalls = 2
	// recentTicks is the number of ticks that are compared in addition to the whole period, to
	// detect a version that turns bad late.
	recentTicks = 8
)

// Coordinator decides the steps of one rollout. It is not safe for concurrent use.
type Coordinator struct {
	set     Settings
	order   Order
	record  Record
	token   uint64
	started time.Time // time of the order, as far as known

	round         int             // number of the last messages; reports on them cover the same period
	messaged      map[string]bool // nodes that the last messages were sent to
	callCredit    float64         // calls not yet granted to the canaries
	grantTicks    int             // number of grants to the canaries
	undisturbedAt time.Time       // end of the disturbance of the comparison
	openedAt      time.Time       // time at which all servers of the target version were opened, or zero
	servers       []Server
	counts        map[string]*history   // by server
	rounds        []map[string]Failures // by class, of the last rounds, oldest first
	failures      map[string]Failures   // by class, of all rounds
	idle          map[string]bool       // baseline servers that take and run no calls
	acknowledged  map[string]bool       // nodes that acknowledged the current phase
	status        Status
}

// NewCoordinator returns the coordinator of an order. r is the stored record of the service, and
// elapsed the time since the order as far as this node knows.
func NewCoordinator(set Settings, now time.Time, o Order, r Record, token uint64, elapsed time.Duration) *Coordinator {
	if r.Order != o.Revision {
		r = r.nextOrder(o, now)
	}
	return &Coordinator{
		set: set, order: o, record: r, token: token, started: now.Add(-max(elapsed, 0)),
		counts: make(map[string]*history), failures: make(map[string]Failures), idle: make(map[string]bool), acknowledged: make(map[string]bool),
	}
}

// Record returns the current record.
func (c *Coordinator) Record() Record { return c.record }

// TimeLeft returns the remaining time of the rollout.
func (c *Coordinator) TimeLeft(now time.Time) time.Duration {
	return c.order.TimeLimit - now.Sub(c.started)
}

// RecordWritten records that r was written to the table.
func (c *Coordinator) RecordWritten(r Record) {
	if r.Phase != c.record.Phase {
		clear(c.idle)
		clear(c.acknowledged)
	}
	c.record = r
}

// SetServers sets the servers of the service.
func (c *Coordinator) SetServers(servers []Server) {
	c.servers = slices.Clone(servers)
	slices.SortFunc(c.servers, func(a, b Server) int { return cmp.Compare(a.key(), b.key()) })
}

// serversOf returns the servers of the target version, or those of all other versions, without the
// draining ones.
func (c *Coordinator) serversOf(target bool) []Server {
	var out []Server
	for _, s := range c.servers {
		if (s.Version == c.order.Target) == target && !s.Draining {
			out = append(out, s)
		}
	}
	return out
}

// Step returns the record to write now, and whether it differs from the current one. It has to be
// written before the messages that follow from it are sent.
func (c *Coordinator) Step(now time.Time) (Record, bool) {
	if c.record.Phase.Final() {
		return c.record, false
	}
	if c.record.Phase == Running {
		return c.stepRunning(now)
	}
	if c.baselineDrained() {
		return c.transition(Completed, "no call runs at the baseline"), true
	}
	return c.record, false
}

// stepRunning compares the target version while the baseline takes calls as well. Once the baseline
// drains there are no counts of the same period to compare with, and any fault of the service would
// reject the version.
func (c *Coordinator) stepRunning(now time.Time) (Record, bool) {
	if !c.disturbed(now) {
		c.collectFailures()
		if reason := c.rejectReason(); reason != "" {
			return c.transition(RolledBack, reason), true
		}
	}
	left := c.TimeLeft(now)
	switch missing := c.missingEvidence(); {
	case missing == "" && !c.openedAt.IsZero() && now.Sub(c.openedAt) >= c.set.BakeTime:
		return c.transition(Draining, "no worse than the baseline"), true
	case missing == "" && c.openedAt.IsZero() && left <= c.set.FinishReserve:
		c.openedAt = now
	case left <= c.set.RollbackReserve && (missing != "" || c.openedAt.IsZero()):
		return c.transition(RolledBack, "no evidence in time: "+cmp.Or(missing, "not all servers were in service")), true
	}
	return c.record, false
}

func (c *Coordinator) transition(p Phase, reason string) Record {
	r := c.record
	r.Phase, r.Reason = p, reason
	if p == Draining {
		r.Replaced = distinctVersions(c.serversOf(false))
	}
	return r
}

// distinctVersions returns the versions of some servers, sorted and without duplicates.
func distinctVersions(servers []Server) []string {
	var out []string
	for _, s := range servers {
		if s.Version != "" {
			out = append(out, s.Version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// missingEvidence returns the reason why not all calls can move to the target version yet, or "".
func (c *Coordinator) missingEvidence() string {
	target, baseline := len(c.serversOf(true)), len(c.serversOf(false))
	if float64(target) < minServerRatio*float64(baseline) || target == 0 {
		return fmt.Sprintf("%d servers of version %s beside %d others", target, c.order.Target, baseline)
	}
	var n uint32
	for _, h := range c.counts {
		if h.version == c.order.Target {
			n += totalCalls(h.last)
		}
	}
	due := c.rate() * c.set.Share * c.order.TimeLimit.Seconds() / 4
	if float64(n) < min(minCanaryCalls, max(minCanaryCallsLowRate, due)) {
		return fmt.Sprintf("%d calls answered by version %s", n, c.order.Target)
	}
	return ""
}

// baselineDrained reports whether no reachable node runs a call at the baseline.
func (c *Coordinator) baselineDrained() bool {
	for _, s := range c.servers {
		if s.Version != c.order.Target && s.Reachable && !c.idle[s.key()] {
			return false
		}
	}
	return true
}

// FinalAcknowledged reports whether all reachable nodes have acknowledged the final record.
func (c *Coordinator) FinalAcknowledged() bool {
	for _, s := range c.servers {
		if s.Reachable && !c.acknowledged[s.VM] {
			return false
		}
	}
	return true
}

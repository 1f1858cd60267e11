package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/defect"
)

// Server is a backend server of the service, as the coordinator's node sees it.
type Server struct {
	VM, Instance, Version string
	// Reachable is false while the server's node is suspected.
	Reachable bool
	// Draining is set once the server has announced that it leaves.
	Draining bool
	// Closed is set while the server is published as taking no calls.
	Closed bool
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
	// CallTimeout is the longest time that a call may run.
	CallTimeout time.Duration
}

// Defaults returns the settings for production.
func Defaults() Settings {
	return Settings{
		Share: 0.06, Tick: 500 * time.Millisecond, GrantTTL: 1500 * time.Millisecond,
		BakeTime: 1200 * time.Millisecond, FinishReserve: 6 * time.Second, RollbackReserve: time.Second,
		CallTimeout: 5 * time.Second,
	}
}

const (
	// minCanaries is the number of canaries of a version that has as many servers: a single one
	// can't be distinguished from a faulty server.
	minCanaries = 3
	// maxCanaries and maxBaseline bound the servers of each version whose counts are compared.
	maxCanaries = 12
	maxBaseline = 24
	// minCanaryCalls is the number of calls of the canaries that must have been compared before the
	// baseline drains. If a quarter of the calls that they may get is less, that quarter suffices,
	// but no less than minCanaryCallsLowRate.
	minCanaryCalls        = 60
	minCanaryCallsLowRate = 12
	// minServerRatio is the number of servers of the target version, as a fraction of the
	// baseline's, that must be there before it takes all calls.
	minServerRatio = 0.7
	// initialCalls is the grant of a canary while the call rate of the service is unknown.
	initialCalls = 2
	// minRecentCalls is the number of calls of the target version that must have been compared in
	// the last recentTicks before all of its servers are opened, or a quarter of those that it may
	// get if that is less.
	minRecentCalls = 20
	// maxShare is the fraction of the service's calls during the rollout that a bad version may get.
	maxShare = 0.1
	// unreachableWait is how long a node must have been suspected until its calls are not waited for.
	unreachableWait = 2 * time.Second
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

	round         int                         // number of the last messages; reports on them cover the same period
	messaged      map[string]bool             // nodes that the last messages were sent to
	callCredit    float64                     // calls not yet granted to the canaries
	grantTicks    int                         // number of grants to the canaries
	unreported    map[string]unreportedGrants // by node
	openedAt      time.Time                   // time at which all servers of the target version were opened, or zero
	openedRound   int
	openings      int
	servers       []Server
	unreachableAt map[string]time.Time // by server: since when its node is suspected
	closedAt      map[string]time.Time // by server: since when it is published as taking no calls
	idle          map[string]bool      // baseline servers that take and run no calls
	acknowledged  map[string]bool      // nodes that acknowledged the current phase

	counts                map[string]*history // by server
	losses                []int               // nodes lost or restarted in each of the last rounds
	discardedRound        int                 // the last round in which rounds were discarded as disturbed
	undisturbedAt         time.Time           // end of the disturbance of the comparison
	pending               []roundCounts       // rounds that too many nodes have not reported on, oldest first
	recent                []roundCounts       // the last rounds that were compared, oldest first
	failures              map[string]Failures // by class, of all rounds that were compared
	comparedCalls         uint32              // of the target version
	comparedOpen          uint32              // those since openedAt
	comparedSinceExamined uint32
	unexaminedCalls       uint32
	unexaminedSince       time.Time
	status                Status
}

// NewCoordinator returns the coordinator of an order. r is the stored record of the service, and
// elapsed the time since the order as far as this node knows.
func NewCoordinator(set Settings, now time.Time, o Order, r Record, token uint64, elapsed time.Duration) *Coordinator {
	if r.Order != o.Revision {
		r = r.nextOrder(o, now)
	}
	return &Coordinator{
		set: set, order: o, record: r, token: token, started: now.Add(-max(elapsed, 0)),
		counts: make(map[string]*history), failures: make(map[string]Failures), unreported: make(map[string]unreportedGrants),
		unreachableAt: make(map[string]time.Time), closedAt: make(map[string]time.Time),
		idle: make(map[string]bool), acknowledged: make(map[string]bool),
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

// firstOf returns the time under a key, or now if there is none.
func firstOf(times map[string]time.Time, key string, now time.Time) time.Time {
	if at, ok := times[key]; ok {
		return at
	}
	return now
}

// SetServers sets the servers of the service as they are now.
func (c *Coordinator) SetServers(now time.Time, servers []Server) {
	c.servers = slices.Clone(servers)
	unreachableAt, closedAt := make(map[string]time.Time), make(map[string]time.Time)
	for _, s := range servers {
		if !s.Reachable {
			unreachableAt[s.key()] = firstOf(c.unreachableAt, s.key(), now)
		}
		if s.Closed {
			closedAt[s.key()] = firstOf(c.closedAt, s.key(), now)
		}
	}
	c.unreachableAt, c.closedAt = unreachableAt, closedAt
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
	if c.baselineDrained(now) {
		return c.transition(Completed, "no call runs at the baseline"), true
	}
	return c.record, false
}

// stepRunning compares the target version while the baseline takes calls as well. Once the baseline
// drains there are no counts of the same period to compare with, and any fault of the service would
// reject the version.
func (c *Coordinator) stepRunning(now time.Time) (Record, bool) {
	disturbed := c.collect(now)
	if defect.On(defect.PromoteUncompared) {
		return c.stepUncompared(now)
	}
	if reason := c.rejectReason(); reason != "" {
		return c.transition(RolledBack, reason), true
	}
	if !c.unexaminedSince.IsZero() && now.Sub(c.unexaminedSince) >= maxUnexaminedTime {
		reason := fmt.Sprintf("%d calls could not be compared for %s", c.unexaminedCalls, now.Sub(c.unexaminedSince).Round(time.Millisecond))
		return c.transition(RolledBack, reason), true
	}
	if disturbed {
		return c.rollBackLate(now, "many nodes were lost or restarted")
	}
	if len(c.pending) >= maxPending {
		c.openedAt = time.Time{}
		return c.rollBackLate(now, "many nodes did not report")
	}
	missing := cmp.Or(c.missingEvidence(), c.doubt())
	switch left := c.TimeLeft(now); {
	case missing != "":
		return c.rollBackLate(now, missing)
	case c.openedAt.IsZero() && c.mayOpen() && left <= c.set.FinishReserve && left > c.set.BakeTime+c.set.RollbackReserve:
		c.openedAt, c.openedRound, c.comparedOpen = now, c.round, 0
		c.openings++
	case c.openedAt.IsZero():
		return c.rollBackLate(now, "not all servers were in service")
	case now.Sub(c.openedAt) >= c.set.BakeTime:
		if float64(c.comparedOpen) < min(minCanaryCalls, c.rate()*c.set.Share*c.set.BakeTime.Seconds()/4) {
			return c.rollBackLate(now, fmt.Sprintf("%d calls compared while all servers were in service", c.comparedOpen))
		}
		return c.transition(Draining, "no worse than the baseline"), true
	}
	return c.record, false
}

// stepUncompared is stepRunning with defect.PromoteUncompared.
func (c *Coordinator) stepUncompared(now time.Time) (Record, bool) {
	if c.openedAt.IsZero() && c.TimeLeft(now) <= c.set.FinishReserve {
		c.openedAt = now
	}
	if !c.openedAt.IsZero() && now.Sub(c.openedAt) >= c.set.BakeTime {
		return c.transition(Draining, "not compared"), true
	}
	return c.record, false
}

// mayOpen reports whether all servers of the target version may be opened. Once they were closed
// again, only a long rollout has enough calls left.
func (c *Coordinator) mayOpen() bool {
	open := time.Duration(c.openings) * (c.set.BakeTime + 2*c.set.GrantTTL)
	exposed := c.set.Share*c.order.TimeLimit.Seconds() + (open+c.set.BakeTime).Seconds()/2
	return c.openings == 0 || exposed <= maxShare*c.order.TimeLimit.Seconds()
}

// rollBackLate returns the record of a rollback once there is no time left to wait for evidence.
func (c *Coordinator) rollBackLate(now time.Time, missing string) (Record, bool) {
	if c.TimeLeft(now) > c.set.RollbackReserve {
		return c.record, false
	}
	return c.transition(RolledBack, "no evidence in time: "+missing), true
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
	due := c.rate() * c.set.Share / 4
	if wanted := min(minCanaryCalls, max(minCanaryCallsLowRate, due*c.order.TimeLimit.Seconds())); float64(c.comparedCalls) < wanted {
		return fmt.Sprintf("%d calls answered by version %s were compared", c.comparedCalls, c.order.Target)
	}
	recent := min(minRecentCalls, due*c.set.Tick.Seconds()*recentTicks)
	if n := c.recentCalls(); float64(n) < recent {
		return fmt.Sprintf("%d calls answered by version %s were compared lately", n, c.order.Target)
	}
	return ""
}

// baselineDrained reports whether no call runs at the baseline, as far as the nodes can be asked.
//
// A node whose reports are lost is drained by what it publishes of its server: once that takes no
// calls, those in flight end within CallTimeout. One that is suspected for a while is mostly gone, and
// nothing more can be learned of it.
func (c *Coordinator) baselineDrained(now time.Time) bool {
	for _, s := range c.servers {
		if s.Version == c.order.Target || c.idle[s.key()] {
			continue
		}
		if at, unreachable := c.unreachableAt[s.key()]; unreachable && now.Sub(at) >= unreachableWait {
			continue
		}
		if at, closed := c.closedAt[s.key()]; closed && now.Sub(at) >= c.set.CallTimeout {
			continue
		}
		return false
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

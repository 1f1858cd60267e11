package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Server is a server of the service, as the conductor's node sees it.
type Server struct {
	VM, Instance, Version string
	// Reachable is not set while its node is suspected to be gone.
	Reachable bool
	// Draining is set once the server has said that it leaves.
	Draining bool
}

// key tells servers apart.
func (s Server) key() string { return s.VM + "/" + s.Instance }

// ServerReport is what a node said of one of its servers.
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

// Settings of a Coordinator.
type Settings struct {
	// Share is the part of the service's calls that the canaries get.
	Share float64
	// Tick is the time between two steps.
	Tick time.Duration
	// GrantTTL is how long a grant lasts.
	GrantTTL time.Duration
	// BakeTime is for how long all servers of the target version take calls beside the
	// baseline, before that drains.
	BakeTime time.Duration
	// FinishReserve is what of the time is kept for the end: expanding, draining, writing.
	FinishReserve time.Duration
	// RollbackReserve is how long before its end a rollout without enough evidence is rolled back.
	RollbackReserve time.Duration
}

// Defaults returns the settings of a product in use.
func Defaults() Settings {
	return Settings{
		Share: 0.06, Tick: 500 * time.Millisecond, GrantTTL: 1500 * time.Millisecond,
		BakeTime: 1200 * time.Millisecond, FinishReserve: 6 * time.Second, RollbackReserve: time.Second,
	}
}

const (
	// fewestCanaries are asked of a version, as long as there are so many: one alone
	// can't be told from a faulty server.
	fewestCanaries = 3
	// mostCanaries and mostBaseline bound the servers of either version whose counts are
	// compared.
	mostCanaries = 12
	mostBaseline = 24
	// fewestCalls is how many calls the canaries must have answered before the baseline
	// drains; fewestRare suffice where a quarter of what they may get is less.
	fewestCalls = 60
	fewestRare  = 12
	// enoughServers is the part of the baseline's servers that the target version must
	// have before it takes all calls.
	enoughServers = 0.7
	// firstCalls is the grant of a canary while the rate of the service isn't known.
	firstCalls = 2
	// window is the number of ticks over which counts are compared besides the whole
	// time, for a version that turns bad late.
	window = 8
)

// Coordinator decides on one rollout. It isn't safe for concurrent use.
type Coordinator struct {
	set     Settings
	order   Order
	record  Record
	token   uint64
	started time.Time // when the order was given, as far as is known

	round     int             // of messages; answers to it are evidence of the same time
	asked     map[string]bool // nodes that the last messages went to
	owed      float64         // calls that the canaries may still get
	ticks     int             // in which canaries were given calls
	calmAt    time.Time       // when a comparison is no longer disturbed
	expanding time.Time       // when all servers of the target version were opened, or zero
	servers   []Server
	counts    map[string]*history   // by server
	rounds    []map[string]Failures // of the last rounds, oldest first, by class
	failures  map[string]Failures   // of all rounds
	held      map[string]bool       // baseline servers that take no calls and run none
	told      map[string]bool       // nodes that have answered to a final record
}

// NewCoordinator returns the conductor of an order, where record is what lasts of the
// service's rollouts and elapsed the time since the order as far as this node knows.
func NewCoordinator(set Settings, now time.Time, o Order, r Record, token uint64, elapsed time.Duration) *Coordinator {
	if r.Order != o.Revision {
		r = r.begin(o, now)
	}
	return &Coordinator{
		set: set, order: o, record: r, token: token, started: now.Add(-max(elapsed, 0)),
		counts: make(map[string]*history), failures: make(map[string]Failures), held: make(map[string]bool), told: make(map[string]bool),
	}
}

// Record returns the record as it stands.
func (c *Coordinator) Record() Record { return c.record }

// TimeLeft returns how much of the rollout's time is left.
func (c *Coordinator) TimeLeft(now time.Time) time.Duration {
	return c.order.TimeLimit - now.Sub(c.started)
}

// RecordWritten notes that a record is in the table.
func (c *Coordinator) RecordWritten(r Record) {
	if r.Phase != c.record.Phase {
		clear(c.held)
		clear(c.told)
	}
	c.record = r
}

// SetServers takes in the servers of the service.
func (c *Coordinator) SetServers(servers []Server) {
	c.servers = slices.Clone(servers)
	slices.SortFunc(c.servers, func(a, b Server) int { return cmp.Compare(a.key(), b.key()) })
}

// of returns the servers of the target version, or those of all others.
func (c *Coordinator) of(target bool) []Server {
	var out []Server
	for _, s := range c.servers {
		if (s.Version == c.order.Target) == target && !s.Draining {
			out = append(out, s)
		}
	}
	return out
}

// Step returns the record that is to be written now, if it isn't the one that stands.
// It has to be written before the messages that follow from it are sent.
func (c *Coordinator) Step(now time.Time) (Record, bool) {
	if c.record.Phase.Final() {
		return c.record, false
	}
	if c.record.Phase == Running {
		return c.stepRunning(now)
	}
	if c.drained() {
		return c.to(Completed, "no call runs at the baseline"), true
	}
	return c.record, false
}

// stepRunning judges the target version while the baseline takes calls as well. Once that
// drains there is nothing of the same time to hold it against, and any trouble of the service
// would condemn it.
func (c *Coordinator) stepRunning(now time.Time) (Record, bool) {
	if !c.disturbed(now) {
		c.collect()
		if why := c.condemned(); why != "" {
			return c.to(RolledBack, why), true
		}
	}
	left := c.TimeLeft(now)
	switch missing := c.missing(); {
	case missing == "" && !c.expanding.IsZero() && now.Sub(c.expanding) >= c.set.BakeTime:
		return c.to(Draining, "no worse than the baseline"), true
	case missing == "" && c.expanding.IsZero() && left <= c.set.FinishReserve:
		c.expanding = now
	case left <= c.set.RollbackReserve && (missing != "" || c.expanding.IsZero()):
		return c.to(RolledBack, "no evidence in time: "+cmp.Or(missing, "not all servers were in service")), true
	}
	return c.record, false
}

func (c *Coordinator) to(p Phase, why string) Record {
	r := c.record
	r.Phase, r.Reason = p, why
	if p == Draining {
		r.Replaced = versions(c.of(false))
	}
	return r
}

// versions returns the versions of some servers, each once and in order.
func versions(servers []Server) []string {
	var out []string
	for _, s := range servers {
		if s.Version != "" {
			out = append(out, s.Version)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// missing returns what speaks against moving all calls to the target version, or "".
func (c *Coordinator) missing() string {
	target, baseline := len(c.of(true)), len(c.of(false))
	if float64(target) < enoughServers*float64(baseline) || target == 0 {
		return fmt.Sprintf("%d servers of version %s beside %d others", target, c.order.Target, baseline)
	}
	var n uint32
	for _, h := range c.counts {
		if h.version == c.order.Target {
			n += calls(h.last)
		}
	}
	due := c.rate() * c.set.Share * c.order.TimeLimit.Seconds() / 4
	if float64(n) < min(fewestCalls, max(fewestRare, due)) {
		return fmt.Sprintf("%d calls answered by version %s", n, c.order.Target)
	}
	return ""
}

// drained reports whether no call runs at the baseline, at any node in reach.
func (c *Coordinator) drained() bool {
	for _, s := range c.servers {
		if s.Version != c.order.Target && s.Reachable && !c.held[s.key()] {
			return false
		}
	}
	return true
}

// FinalAcknowledged reports whether all nodes in reach have answered to the final record.
func (c *Coordinator) FinalAcknowledged() bool {
	for _, s := range c.servers {
		if s.Reachable && !c.told[s.VM] {
			return false
		}
	}
	return true
}

package route

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Picker picks endpoints of one service for one node. It is safe for
// concurrent use; Pick and Choice.Done take no lock unless an endpoint is
// ejected or returns.
type Picker struct {
	opt       Options
	slowStart int64 // milliseconds, as are the next two
	loadAge   int64
	forget    int64

	epoch   atomic.Pointer[time.Time] // a millisecond before the first Update
	seed    atomic.Uint64
	turns   atomic.Uint64
	latency average // mean latency of the service, milliseconds
	others  average // mean load by other nodes, per slot
	entries atomic.Int64
	free    hints

	table atomic.Pointer[table]

	mu     sync.Mutex // guards what follows; never held across I/O
	states map[string]*state
	order  []*state // all of them, by preference
	update uint64   // counts the updates
}

// tier is how far an endpoint is from this node.
type tier int

const (
	tierOwn tier = iota // own data centre
	tierRegion
	tierFar
	tiers
)

// table is the immutable picture that Pick reads.
type table struct {
	near    [tiers][]*state // the node's subset, without ejected endpoints
	own     []*state        // those of near on this node's VM
	ejected []*state
	// canaries get a part of the calls of their own, and are in none of the lists above.
	canaries [tiers][]*state
	tries    bool     // there are canaries
	all      []*state // every endpoint of the service, in order of preference
}

// New returns a Picker that knows no endpoints yet.
func New(o Options) *Picker {
	o = o.withDefaults()
	p := &Picker{
		opt:       o,
		slowStart: o.SlowStart.Milliseconds(),
		loadAge:   max(1, o.LoadHalfLife.Milliseconds()),
		forget:    max(1, o.ObservationHalfLife.Milliseconds()),
		states:    map[string]*state{},
	}
	p.seed.Store(o.Seed)
	p.turns.Store(p.random())
	p.table.Store(&table{})
	return p
}

// SetEntryNodes tells how many nodes of this node's own data centre may send
// calls to the service; the size of the subset follows from it. The caller
// counts the nodes of the data centre in its membership view, for every node
// may be an entry node. It takes effect with the next Update; until it is
// told, the node uses every endpoint.
func (p *Picker) SetEntryNodes(n int) { p.entries.Store(int64(n)) }

// Ejected returns how many endpoints are left out for their failures.
func (p *Picker) Ejected() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.states {
		if s.ejected.Load() {
			n++
		}
	}
	return n
}

// Choice is a picked endpoint. Done must be called once for each.
type Choice struct {
	p     *Picker
	s     *state
	ep    *Endpoint
	trial bool
}

// Endpoint returns the picked endpoint; it must not be changed.
func (c Choice) Endpoint() *Endpoint { return c.ep }

// Trial reports whether the call is to show if an ejected endpoint is well.
func (c Choice) Trial() bool { return c.trial }

// millis turns a moment into the Picker's own count; it is at least one.
//
// It goes by the monotonic clock. The time of day may jump by seconds: back, all
// that was observed would not age for that long, and an ejected endpoint not be
// tried; ahead, all of it would be forgotten at once.
func (p *Picker) millis(t time.Time) int64 {
	epoch := p.epoch.Load()
	if epoch == nil {
		return 1
	}
	return max(1, t.Sub(*epoch).Milliseconds())
}

// moment is the inverse of millis.
func (p *Picker) moment(ms int64) time.Time {
	epoch := p.epoch.Load()
	if epoch == nil {
		return time.Time{}
	}
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

const splitMixStep = 0x9e3779b97f4a7c15

// random returns the next random number. With a seed it is a SplitMix64
// sequence, which needs one atomic addition and no lock.
func (p *Picker) random() uint64 {
	if p.opt.Seed == 0 {
		return rand.Uint64()
	}
	z := p.seed.Add(splitMixStep)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (p *Picker) randomN(n int) int { return int(p.random() % uint64(n)) }

func (p *Picker) randomFloat() float64 { return float64(p.random()>>11) / (1 << 53) }

func noEndpoint() error {
	return &call.Refusal{Reason: call.ReasonNoEndpoint, RetryAfter: comeBack}
}

// comeBack is what a caller is told when no endpoint is known: about the time
// in which a new announcement spreads.
const comeBack = 2 * time.Second

package route

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
)

// Picker picks endpoints of one service for one node. It is safe for concurrent use. Pick and
// Choice.Done take no lock unless an endpoint is ejected or readmitted.
type Picker struct {
	opt          Options
	slowStart    int64 // milliseconds, as are the next two
	loadHalfLife int64
	halfLife     int64

	epoch      atomic.Pointer[time.Time] // one millisecond before the first Update
	seed       atomic.Uint64
	turns      atomic.Uint64
	latency    average // mean latency of the service in milliseconds
	otherLoad  average // mean load from other nodes, per slot
	entryNodes atomic.Int64
	freeSlots  hints
	runTimes   completion.Estimator

	table atomic.Pointer[table]

	mu     sync.Mutex // guards the fields below; never held across I/O
	states map[string]*state
	order  []*state // all states, by preference
	update uint64   // number of updates so far
}

// tier is the locality of an endpoint relative to this node.
type tier int

const (
	tierOwn tier = iota // own data centre
	tierRegion
	tierFar
	numTiers
)

// table is the immutable snapshot that Pick reads.
type table struct {
	subset  [numTiers][]*state // the node's subset, without ejected endpoints
	sameVM  []*state           // endpoints of the subset on this node's VM
	ejected []*state
	// canaries get their own share of the calls and are in none of the lists above.
	canaries    [numTiers][]*state
	hasCanaries bool
	all         []*state // every endpoint of the service, by preference
}

// New returns a Picker without endpoints.
func New(o Options) *Picker {
	o = o.withDefaults()
	p := &Picker{
		opt:          o,
		slowStart:    o.SlowStart.Milliseconds(),
		loadHalfLife: max(1, o.LoadHalfLife.Milliseconds()),
		halfLife:     max(1, o.ObservationHalfLife.Milliseconds()),
		states:       map[string]*state{},
	}
	p.seed.Store(o.Seed)
	p.turns.Store(p.random())
	p.table.Store(&table{})
	return p
}

// SetEntryNodes sets how many nodes of this node's data centre may send calls to the service, which
// determines the subset size. The caller counts the nodes of the data centre in its membership
// view, since every node may be an entry node. The count takes effect with the next Update. Until
// it is set, the node uses every endpoint.
func (p *Picker) SetEntryNodes(n int) { p.entryNodes.Store(int64(n)) }

// Ejected returns the number of ejected endpoints.
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

// Choice is a picked endpoint. Done must be called exactly once.
type Choice struct {
	p     *Picker
	s     *state
	ep    *Endpoint
	trial bool
}

// Endpoint returns the picked endpoint, which must not be modified.
func (c Choice) Endpoint() *Endpoint { return c.ep }

// Trial reports whether the call is a trial of an ejected endpoint.
func (c Choice) Trial() bool { return c.trial }

// millis converts a time to milliseconds since the Picker's epoch, at least 1.
//
// It uses the monotonic clock. The wall clock may jump by seconds: after a jump back, observations
// would not age and no trial would be due for that long; after a jump ahead, all observations would
// be outdated at once.
func (p *Picker) millis(t time.Time) int64 {
	epoch := p.epoch.Load()
	if epoch == nil {
		return 1
	}
	return max(1, t.Sub(*epoch).Milliseconds())
}

// timeAt is the inverse of millis.
func (p *Picker) timeAt(ms int64) time.Time {
	epoch := p.epoch.Load()
	if epoch == nil {
		return time.Time{}
	}
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

const splitMixStep = 0x9e3779b97f4a7c15

// random returns the next random number. With a seed it is a SplitMix64 sequence, which needs one
// atomic addition and no lock.
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

func noEndpointRefusal() error {
	return &call.Refusal{Reason: call.ReasonNoEndpoint, RetryAfter: noEndpointRetryAfter}
}

// noEndpointRetryAfter is about the time in which the announcement of a new endpoint spreads.
const noEndpointRetryAfter = 2 * time.Second

package route

import "time"

// Defaults of the tunable fields of Options.
const (
	DefaultConnections = 130
	DefaultMinSubset   = 2
	// DefaultSlowStart is about how long a backend server is cold. Held back for longer, its
	// slots stay empty while calls wait at others: in a rolling restart at most of them.
	DefaultSlowStart           = 5 * time.Second
	DefaultLoadHalfLife        = 50 * time.Millisecond
	DefaultObservationHalfLife = 10 * time.Second
	DefaultMaxEjected          = 0.5
	DefaultBaseEjectionTime    = 5 * time.Second
	DefaultMaxEjectionTime     = time.Minute
)

// Options sets up a Picker. Zero fields take the defaults above.
type Options struct {
	Self       string // the VM of this node
	DataCentre string
	Region     string
	// Seed makes the random choices repeatable; zero takes the runtime's
	// random source.
	Seed uint64

	// Connections is how many entry nodes may hold connections to one
	// endpoint, as far as MinSubset allows.
	Connections int
	// MinSubset is the least number of endpoints of its own data centre that
	// a node uses, if there are as many.
	MinSubset int
	// SlowStart is how long an endpoint takes to get its full part of the
	// calls after a cold start or an ejection.
	SlowStart time.Duration
	// LoadHalfLife is the age at which reported load counts half.
	LoadHalfLife time.Duration
	// ObservationHalfLife is the time in which observed failures and latency fade to a
	// half when no new ones come.
	ObservationHalfLife time.Duration
	// RegionWide makes the Picker weigh the endpoints of all data centres of the
	// region against each other, by what PickInfo says of the way, rather than take
	// the near ones first. It is for meshes whose data centres are close and
	// have few endpoints each.
	RegionWide bool
	// MaxEjected is the largest share of the service's endpoints that may be
	// ejected at once.
	MaxEjected float64
	// BaseEjectionTime is how long the first ejection lasts; each failed trial
	// doubles it up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// OnEject, if set, is told of each endpoint that is ejected, or back. It is
	// called under a lock of the Picker and must not block.
	OnEject func(endpoint string, ejected bool, failing float64)
}

func (o Options) withDefaults() Options {
	setDefault(&o.Connections, DefaultConnections)
	setDefault(&o.MinSubset, DefaultMinSubset)
	setDefault(&o.SlowStart, DefaultSlowStart)
	setDefault(&o.LoadHalfLife, DefaultLoadHalfLife)
	setDefault(&o.ObservationHalfLife, DefaultObservationHalfLife)
	setDefault(&o.MaxEjected, DefaultMaxEjected)
	setDefault(&o.BaseEjectionTime, DefaultBaseEjectionTime)
	setDefault(&o.MaxEjectionTime, DefaultMaxEjectionTime)
	return o
}

func setDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

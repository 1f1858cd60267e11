package route

import "time"

// Defaults of the optional fields of Options.
const (
	DefaultConnections = 130
	DefaultMinSubset   = 2
	// DefaultSlowStart is about how long a backend server stays cold. A longer slow start leaves
	// slots idle while calls wait at other endpoints: in a rolling restart, at most of them.
	DefaultSlowStart           = 5 * time.Second
	DefaultLoadHalfLife        = 50 * time.Millisecond
	DefaultObservationHalfLife = 10 * time.Second
	DefaultMaxEjected          = 0.5
	DefaultBaseEjectionTime    = 5 * time.Second
	DefaultMaxEjectionTime     = time.Minute
)

// Options configures a Picker. Zero fields take the defaults above.
type Options struct {
	Self       string // the VM of this node
	DataCentre string
	Region     string
	// Seed makes random choices repeatable. Zero selects the runtime's random source.
	Seed uint64

	// Connections is the maximum number of entry nodes connected to one endpoint, as far as
	// MinSubset allows.
	Connections int
	// MinSubset is the minimum number of endpoints of its own data centre that a node uses, if that
	// many exist.
	MinSubset int
	// SlowStart is how long an endpoint takes to reach its full share of calls after a cold start
	// or an ejection.
	SlowStart time.Duration
	// LoadHalfLife is the age at which the weight of reported load has fallen to a half.
	LoadHalfLife time.Duration
	// ObservationHalfLife is the age at which the weight of observed failures and latency has
	// fallen to a half, if no new samples arrive.
	ObservationHalfLife time.Duration
	// RegionWide makes the Picker compare the endpoints of all data centres of the region by cost,
	// with PickInfo.RemoteCost added for another data centre, instead of preferring the own one. It
	// suits meshes whose data centres are close and have few endpoints each.
	RegionWide bool
	// MaxEjected is the maximum share of the service's endpoints ejected at once, from 0 to 1.
	MaxEjected float64
	// BaseEjectionTime is the length of the first ejection. Each failed trial doubles it, up to
	// MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// OnEject, if set, is called when an endpoint is ejected or readmitted, with its failure rate.
	// It is called under the Picker's lock and must not block.
	OnEject func(endpoint string, ejected bool, failureRate float64)
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

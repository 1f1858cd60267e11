package membership

import "time"

// Config holds the settings of a State. Take DefaultConfig and change what
// differs; every field has to be set.
type Config struct {
	Self VM
	// Seeds are control addresses to ask when the platform tells of none.
	Seeds []string

	ProbeEvery      time.Duration // between two probes by this node
	ProbeTimeout    time.Duration // of a probe, before relays are asked
	IndirectTimeout time.Duration // of the relays' attempts together
	Relays          int           // asked for one indirect probe

	SuspectMin       time.Duration // from suspicion to death, fully confirmed
	SuspectMax       time.Duration // the same, unconfirmed
	Confirmations    int           // observers that make a suspicion fully confirmed
	DeathSampleSize  int           // random nodes probed before a death is declared
	DeathSampleEvery time.Duration // between two of these samples, when the first says no

	Bridges                int           // nodes of a data centre that speak with others
	BridgeEvery            time.Duration // between exchanges with a data centre of the region
	CrossRegionBridgeEvery time.Duration // the same, of another region

	MessageBytes      int           // records and claims on one probe message
	SyncBytes         int           // records on one sync message
	SyncEvery         time.Duration // least time between syncs that this node opens
	RetransmitFactor  int           // a change rides on RetransmitFactor·log2(n) messages
	PushFanout        int           // peers that are told at once of an urgent change
	PushEvery         time.Duration // least time between two rounds of pushes
	PushAllChanges    bool          // any change of backend servers is pushed, not just fewer of them
	RecordUpdateEvery time.Duration // least time between lazy changes to the own record

	CutOffAfter        time.Duration // silence after which a data centre is cut off
	ForgetAfter        time.Duration // silence after which its records are dropped
	LeavingRetention   time.Duration // how long a leaving record is kept
	TombstoneRetention time.Duration // how long a dead record's stamp is kept
	PauseGap           time.Duration // gap between ticks taken for a pause of this process
	SuspicionGrace     time.Duration // after a pause or start, no suspicion is raised

	JoinBackoff    time.Duration // first bound of the full jitter between joins
	JoinBackoffMax time.Duration // last bound of it
	JoinsPerSecond float64       // full states served
	JoinBurst      float64       // full states served back to back
	AloneAfter     time.Duration // without an answer, a node counts as the first
	RecallTimeout  time.Duration // until peers' answers to a recall count as lost
	// WriteContactEarly makes a node that starts write its row of contacts
	// before it has joined, and read those of others until it has.
	WriteContactEarly bool

	Limits Limits
}

// Limits bound what a peer can make this node hold. What is above a limit is
// refused and counted.
type Limits struct {
	Records        int // live records and tombstones together
	Backends       int // of one record
	Notices        int // of one record
	StringBytes    int // bytes of any string
	FullStateBytes int // bytes of a decompressed full state
	Relays         int // relay probes under way for others
	Contacts       int // addresses remembered for joining
}

// FastConvergence returns cfg with the times of a mesh that has no seeds and must be whole
// within seconds of its start, and whose nodes carry no version of the history
// that being alone could harm.
//
// Nodes find each other by the platform's contact rows alone, so a starting one
// writes its row at once and is alone early: where all start together, one has
// to be the first. Probes go out twice as often, which halves the time until a
// node that is gone is suspected; a mesh of some hundred nodes spends about 1 KB/s
// a node on them.
func FastConvergence(cfg Config) Config {
	cfg.PushAllChanges = true
	cfg.WriteContactEarly = true
	cfg.AloneAfter = 1500 * time.Millisecond
	cfg.JoinBackoff = 100 * time.Millisecond
	cfg.JoinBackoffMax = time.Second
	cfg.JoinsPerSecond = 32
	cfg.JoinBurst = 32
	cfg.ProbeEvery = time.Second
	cfg.ProbeTimeout = 500 * time.Millisecond
	cfg.IndirectTimeout = time.Second
	cfg.SyncEvery = 5 * time.Second
	cfg.BridgeEvery = 2 * time.Second
	cfg.CrossRegionBridgeEvery = 3 * time.Second
	cfg.RecordUpdateEvery = 250 * time.Millisecond
	return cfg
}

// DefaultConfig returns the settings for the mesh of 1,200 nodes.
func DefaultConfig(self VM) Config {
	return Config{
		Self:                   self,
		ProbeEvery:             2 * time.Second,
		ProbeTimeout:           time.Second,
		IndirectTimeout:        2 * time.Second,
		Relays:                 3,
		SuspectMin:             4 * time.Second,
		SuspectMax:             16 * time.Second,
		Confirmations:          3,
		DeathSampleSize:        15,
		DeathSampleEvery:       30 * time.Second,
		Bridges:                2,
		BridgeEvery:            4 * time.Second,
		CrossRegionBridgeEvery: 10 * time.Second,
		MessageBytes:           1200,
		SyncBytes:              32 << 10,
		SyncEvery:              15 * time.Second,
		RetransmitFactor:       2,
		PushFanout:             4,
		PushEvery:              100 * time.Millisecond,
		RecordUpdateEvery:      time.Second,
		CutOffAfter:            time.Minute,
		ForgetAfter:            24 * time.Hour,
		LeavingRetention:       time.Minute,
		TombstoneRetention:     15 * time.Minute,
		PauseGap:               3 * time.Second,
		SuspicionGrace:         4 * time.Second,
		JoinBackoff:            500 * time.Millisecond,
		JoinBackoffMax:         10 * time.Second,
		JoinsPerSecond:         4,
		JoinBurst:              8,
		AloneAfter:             10 * time.Second,
		RecallTimeout:          3 * time.Second,
		Limits:                 DefaultLimits(),
	}
}

// DefaultLimits returns limits for a mesh of up to 4,096 nodes.
func DefaultLimits() Limits {
	return Limits{
		Records:        4096,
		Backends:       64,
		Notices:        32,
		StringBytes:    256,
		FullStateBytes: 16 << 20,
		Relays:         64,
		Contacts:       64,
	}
}

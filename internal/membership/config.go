package membership

import "time"

// Config holds the settings of a State. Start from DefaultConfig and change what
// differs; no field has a default for its zero value.
type Config struct {
	Self VM
	// Seeds are control addresses to join through, besides the platform's contacts.
	Seeds []string

	ProbeEvery      time.Duration // between two probes by this node
	ProbeTimeout    time.Duration // of a probe, before indirect probes start
	IndirectTimeout time.Duration // of all indirect probes of a node together
	Relays          int           // relays per indirect probe

	SuspectMin       time.Duration // suspicion timeout when fully confirmed
	SuspectMax       time.Duration // suspicion timeout when unconfirmed
	Confirmations    int           // observers that fully confirm a suspicion
	DeathSampleSize  int           // random nodes probed before a death is declared
	DeathSampleEvery time.Duration // between two samples, if the first one shows no healthy majority

	Bridges                int           // nodes per data centre that gossip with other data centres
	BridgeEvery            time.Duration // between exchanges with a data centre of the same region
	CrossRegionBridgeEvery time.Duration // the same for another region

	MessageBytes      int           // bytes of records and claims per message; more between bridges
	SyncBytes         int           // bytes of records per sync message
	SyncEvery         time.Duration // minimum time between syncs that this node starts
	RetransmitFactor  int           // a change is sent on RetransmitFactor·log2(n) messages
	PushFanout        int           // peers that an urgent change is pushed to
	PushEvery         time.Duration // minimum time between two rounds of pushes
	PushAllChanges    bool          // push every change of backend servers, not only removals
	RecordUpdateEvery time.Duration // minimum time between non-urgent updates of the own record

	CutOffAfter        time.Duration // silence after which a data centre counts as cut off
	ForgetAfter        time.Duration // silence after which its records are dropped
	LeavingRetention   time.Duration // how long the record of a leaving node is kept
	TombstoneRetention time.Duration // how long the tombstone of a dead node is kept
	PauseGap           time.Duration // gap between ticks treated as a pause of this process
	SuspicionGrace     time.Duration // after a start, join or pause, during which no suspicion is raised

	JoinBackoff    time.Duration // first bound of the full jitter between join attempts
	JoinBackoffMax time.Duration // largest bound of the jitter
	JoinsPerSecond float64       // full states served per second, as a token bucket
	JoinBurst      float64       // size of the token bucket
	AloneAfter     time.Duration // without an answer, a node counts as the first of the mesh
	RecallTimeout  time.Duration // timeout of a recall request
	// WriteContactEarly makes a starting node write its contact row before it
	// has joined, and read the rows of other nodes until it has.
	WriteContactEarly bool

	Limits Limits
}

// Limits bound the memory that peers can make this node use. Input over a limit
// is refused and counted.
type Limits struct {
	Records        int // live records and tombstones together
	Backends       int // per record
	Notices        int // per record
	StringBytes    int // bytes of any string
	FullStateBytes int // bytes of a decompressed full state
	Relays         int // relay probes under way for others
	Contacts       int // contacts kept for joining
}

// FastConvergence returns cfg with the timings for a mesh that has no seeds, has to be complete
// within seconds of its start, and whose nodes keep no configuration history that a node could
// damage by starting alone.
//
// Nodes find each other only through the platform's contact rows, so a starting node writes its
// row at once and soon counts as the first of the mesh: if all start together, one of them has
// to be the first. Probing twice as often as by default halves the time until a failed node is
// suspected; a mesh of some hundred nodes spends about 1 KB/s per node on it.
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

// DefaultConfig returns the settings for a mesh of 1,200 nodes.
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

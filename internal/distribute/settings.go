package distribute

import "time"

// Profile weighs convergence time against control bytes.
type Profile struct {
	Name string
	// HeadInterval is how often a feeder reads the platform's head.
	HeadInterval time.Duration
	// PushDelay is how long a node collects versions before it tells them.
	PushDelay time.Duration
	// FanOut is how many nodes of its own data centre a node tells.
	FanOut int
	// PushAcrossDCs lets the first node of each data centre tell those of the
	// others too, so that a version does not depend on its origin's links.
	PushAcrossDCs bool
	// MaxInlineBytes is the size up to which changes ride in a tell; zero means
	// that nodes always pull.
	MaxInlineBytes int
	// PullDelay is how long a node that learns of a newer version from a
	// membership message waits for the tell that is likely on its way.
	PullDelay time.Duration
}

// TimeProfile returns the profile for meshes that weigh convergence time more.
func TimeProfile() Profile {
	return Profile{
		Name: "time", HeadInterval: time.Second, FanOut: 4, PushAcrossDCs: true, MaxInlineBytes: 4 << 10,
		PullDelay: 250 * time.Millisecond,
	}
}

// BytesProfile returns the profile for meshes that weigh control bytes more.
func BytesProfile() Profile {
	return Profile{
		Name: "bytes", HeadInterval: 3 * time.Second, PushDelay: 500 * time.Millisecond,
		FanOut: 8, MaxInlineBytes: 4 << 10, PullDelay: 3 * time.Second,
	}
}

// Settings bound what a State remembers and how it retries.
type Settings struct {
	Self       string
	DataCentre string
	Profile    Profile
	// QueryPeers is how many peers a starting node asks what it held.
	QueryPeers int
	// AloneAfter is how long a starting node looks for a second witness, or
	// for as many peers as it wants, before it makes do with one of them. A
	// node that can ask nobody at all stays not ready, however long.
	AloneAfter time.Duration
	// MaxDeltas and MaxDeltaBytes bound the deltas kept to serve pulls.
	MaxDeltas     int
	MaxDeltaBytes int
	// MaxClaims bounds the peers whose newer versions are remembered.
	MaxClaims int
	// MaxPeers bounds the peers whose highest version is remembered.
	MaxPeers int
	// RetryBase and RetryCap bound the full-jitter waits between attempts.
	RetryBase time.Duration
	RetryCap  time.Duration
	// BanTime is how long a peer that sent a bad answer is not asked.
	BanTime time.Duration
}

// Defaults returns the settings of a node.
func Defaults(self, dataCentre string, p Profile) Settings {
	return Settings{
		Self: self, DataCentre: dataCentre, Profile: p,
		QueryPeers: 3, AloneAfter: 10 * time.Second,
		MaxDeltas: 256, MaxDeltaBytes: 1 << 20, MaxClaims: 16, MaxPeers: 4096,
		RetryBase: 200 * time.Millisecond, RetryCap: 4 * time.Second,
		BanTime: time.Minute,
	}
}

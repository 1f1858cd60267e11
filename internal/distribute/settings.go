package distribute

import "time"

// Profile trades convergence time against control traffic.
type Profile struct {
	Name string
	// HeadInterval is how often a feeder reads the platform's head.
	HeadInterval time.Duration
	// PushDelay is how long a node collects versions before it pushes them.
	PushDelay time.Duration
	// FanOut is the number of nodes of its own data centre to which a node pushes.
	FanOut int
	// PushAcrossDCs makes the first node of each data centre push to those of the others too, so
	// that distribution does not depend on the links of the version's origin.
	PushAcrossDCs bool
	// MaxInlineBytes is the maximum size of changes included in a push; with zero, nodes always
	// pull.
	MaxInlineBytes int
	// PullDelay is how long a node that learns of a newer version from a membership message waits
	// for the push that is probably on its way.
	PullDelay time.Duration
}

// TimeProfile returns the profile that favours a short convergence time.
func TimeProfile() Profile {
	return Profile{
		Name: "time", HeadInterval: time.Second, FanOut: 4, PushAcrossDCs: true, MaxInlineBytes: 4 << 10,
		PullDelay: 250 * time.Millisecond,
	}
}

// BytesProfile returns the profile that favours low control traffic.
func BytesProfile() Profile {
	return Profile{
		Name: "bytes", HeadInterval: 3 * time.Second, PushDelay: 500 * time.Millisecond,
		FanOut: 8, MaxInlineBytes: 4 << 10, PullDelay: 3 * time.Second,
	}
}

// Settings bound what a State keeps and how it retries.
type Settings struct {
	Self       string
	DataCentre string
	Profile    Profile
	// QueryPeers is the number of peers that a starting node queries for the version it ran.
	QueryPeers int
	// AloneAfter is how long a starting node waits for a second witness, or for QueryPeers answers,
	// before a single one is enough. A node without any answer stays not ready.
	AloneAfter time.Duration
	// MaxDeltas and MaxDeltaBytes bound the deltas kept to serve pulls.
	MaxDeltas     int
	MaxDeltaBytes int
	// MaxClaims bounds the peers whose newer versions are kept.
	MaxClaims int
	// MaxPeers bounds the peers whose highest version is kept.
	MaxPeers int
	// RetryBase and RetryCap bound the full-jitter delays between attempts.
	RetryBase time.Duration
	RetryCap  time.Duration
	// BanTime is how long a peer that sent an invalid answer is ignored.
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

package node

import (
	"github.com/marlpass/marlpass/internal/proxy"
)

// Policies replace some of a node's own policies for calls by plain ones, so
// that each can be measured against its baseline. The zero value replaces none.
type Policies struct {
	// RoundRobin picks ready endpoints in turn.
	RoundRobin bool
	// FixedLimit runs as many calls at once as a backend server has slots,
	// first come, first served.
	FixedLimit bool
	// Retrier decides on retries; nil takes the node's own.
	Retrier proxy.Retrier
	// NoDeduplication runs keyed calls without a claim.
	NoDeduplication bool
	// NoQuarantine keeps no request from running.
	NoQuarantine bool
}

// baselineAttempts is how often the baseline sends a call.
const baselineAttempts = 3

// Baseline returns the plain policies for everything. Its retries go on up to
// three attempts whether or not a call may have run.
func Baseline() Policies {
	return Policies{
		RoundRobin: true, FixedLimit: true, Retrier: proxy.RetryAlwaysUpTo(baselineAttempts),
		NoDeduplication: true, NoQuarantine: true,
	}
}

// destinationParts returns the parts of the destination with these policies.
func (p Policies) destinationParts(parts proxy.DestinationOptions) proxy.DestinationOptions {
	if p.FixedLimit {
		parts.Gates = new(proxy.FixedLimit)
	}
	if p.NoDeduplication {
		parts.Deduplicator = nil
	}
	if p.NoQuarantine {
		parts.Suspects = nil
	}
	return parts
}

// entryParts returns the parts of the entry with these policies.
func (p Policies) entryParts(parts proxy.EntryOptions, own *pickers) proxy.EntryOptions {
	if p.RoundRobin {
		own.roundRobin = new(proxy.RoundRobin)
		parts.Pickers = own.roundRobin
	}
	if p.Retrier != nil {
		parts.Retrier = p.Retrier
	}
	if p.NoQuarantine {
		parts.Suspects = nil
	}
	return parts
}

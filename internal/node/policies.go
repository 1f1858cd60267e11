package node

import (
	"github.com/marlpass/marlpass/internal/proxy"
)

// Policies replaces some of a node's call policies with simple ones, so that each can be
// measured against a baseline. The zero value replaces none.
type Policies struct {
	// RoundRobin picks ready endpoints in turn.
	RoundRobin bool
	// FixedLimit runs as many concurrent calls as a backend server has slots, in order of
	// arrival.
	FixedLimit bool
	// Retrier decides on retries; nil keeps the node's own.
	Retrier proxy.Retrier
	// NoDeduplication runs calls with an idempotency key without a claim.
	NoDeduplication bool
	// NoQuarantine never isolates or refuses a request as a suspected cause of crashes.
	NoQuarantine bool
}

// baselineAttempts is the number of attempts per call of the baseline.
const baselineAttempts = 3

// Baseline returns policies that replace all of the node's own. They make up to three attempts
// whether or not a call may have run.
func Baseline() Policies {
	return Policies{
		RoundRobin: true, FixedLimit: true, Retrier: proxy.RetryAlwaysUpTo(baselineAttempts),
		NoDeduplication: true, NoQuarantine: true,
	}
}

// destinationParts returns parts with these policies applied.
func (p Policies) destinationOptions(opts proxy.DestinationOptions) proxy.DestinationOptions {
	if p.FixedLimit {
		opts.Gates = new(proxy.FixedLimit)
	}
	if p.NoDeduplication {
		opts.Deduplicator = nil
	}
	if p.NoQuarantine {
		opts.Suspects = nil
	}
	return opts
}

// entryParts returns parts with these policies applied.
func (p Policies) entryOptions(opts proxy.EntryOptions, own *pickers) proxy.EntryOptions {
	if p.RoundRobin {
		own.roundRobin = new(proxy.RoundRobin)
		opts.Pickers = own.roundRobin
	}
	if p.Retrier != nil {
		opts.Retrier = p.Retrier
	}
	if p.NoQuarantine {
		opts.Suspects = nil
	}
	return opts
}

package follow

import (
	"time"

	"github.com/rs/zerolog"
)

// Finding is something that an operator may want to count.
type Finding string

// The findings.
const (
	// FindingNotTold is a peer that could not be told of a version.
	FindingNotTold Finding = "not_told"
	// FindingNotGiven is a peer that did not give the version that it spoke of.
	FindingNotGiven Finding = "not_given"
	// FindingNoFeeder is a time in which no feeder confirmed the version of this node.
	FindingNoFeeder Finding = "no_feeder"
)

// missedLines is how many lines a second tell of peers that were not reached. In a
// cut each version misses dozens; the first few name the cause, and all are counted.
const missedLines = 5

// sparing returns a logger for lines that come in bursts.
func sparing(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: missedLines, Period: time.Second})
}

// missed tells that a peer was not reached.
func (r *Runner) missed(f Finding, peer string, err error, text string) {
	r.found(f)
	r.misses.Info().Str("peer", peer).Err(err).Msg(text)
}

// found counts f.
func (r *Runner) found(f Finding) {
	if r.deps.OnFinding != nil {
		r.deps.OnFinding(f)
	}
}

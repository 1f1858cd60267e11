package follow

import (
	"time"

	"github.com/rs/zerolog"
)

// Finding names an event that operators may want to count.
type Finding string

// Findings.
const (
	// FindingPushFailed is a failed push of a version to a peer.
	FindingPushFailed Finding = "not_told"
	// FindingPullFailed is a failed pull of a version that a peer claims to hold.
	FindingPullFailed Finding = "not_given"
	// FindingNoFeeder is a period in which no feeder confirmed the version held.
	FindingNoFeeder Finding = "no_feeder"
	// FindingUndecodable is a newest version of the source that cannot be decoded.
	FindingUndecodable Finding = "undecodable"
	// FindingNotInForce is a version that was received and cannot be put in force.
	FindingNotInForce Finding = "not_in_force"
)

// maxPeerErrorLines is the maximum number of log lines per second about peers that were not
// reached. In a partition each version misses dozens of peers; the first few lines name the cause,
// and all failures are counted.
const maxPeerErrorLines = 5

// limitBursts returns a logger that drops lines beyond maxPeerErrorLines per second.
func limitBursts(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: maxPeerErrorLines, Period: time.Second})
}

// logPeerFailure counts and logs a failed request to a peer.
func (r *Runner) logPeerFailure(f Finding, peer string, err error, message string) {
	r.countFinding(f)
	r.burstLog.Info().Str("peer", peer).Err(err).Msg(message)
}

// countFinding counts f.
func (r *Runner) countFinding(f Finding) {
	if r.deps.OnFinding != nil {
		r.deps.OnFinding(f)
	}
}

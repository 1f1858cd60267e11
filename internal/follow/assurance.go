package follow

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
)

// A confirmation is an estimate: its message may have been delayed by a partition for seconds, and
// its age does not include that time. An assurance is a guaranteed bound. Its age counts from when
// the request was sent, to the source or to a peer, on a clock that includes the suspension of the
// VM. Data that must not be trusted for too long, such as API keys that operators may have revoked,
// depends on the assurance.

// RecordAssurance records that no version after newest was accepted at a time since boot. It is of no
// use while the version in force is older than that: its keys may have been revoked since.
func (s *State) RecordAssurance(at time.Duration, newest uint64) {
	if (newest <= s.inForce || defect.On(defect.VouchForHeld)) && (!s.assured || at > s.assuredAt) {
		s.assured, s.assuredAt = true, at
	}
}

// AssuredAge returns the maximum time for which the version in force may have been superseded. known
// is false if the version may never have been the newest.
func (s *State) AssuredAge(boot time.Duration) (age time.Duration, known bool) {
	return boot - s.assuredAt, s.assured
}

// nextAssuranceIn returns the time until this node has to request an assurance, early enough that
// the assurance it forwards is still young for the nodes below it in the tree.
func (s *State) nextAssuranceIn(boot time.Duration, position distribute.Position) time.Duration {
	age, known := s.AssuredAge(boot)
	if !known {
		return 0
	}
	depth := time.Duration(max(position.Depth, 1))
	return s.set.MaxAssuranceAge*depth/(depth+2) - age
}

// assuranceReader returns the node that last read the source, if this node is a feeder and an
// assurance is due. The parents of a feeder may be confirmed by a fallback reader, and then have no
// young assurance themselves.
func (s *State) assuranceReader(boot time.Duration, view *membership.View) (reader string, due bool) {
	position := s.positionIn(view)
	if s.set.MaxAssuranceAge == 0 || position.Depth > 0 || s.nextAssuranceIn(boot, position) > 0 {
		return "", false
	}
	reader = s.confirmed.Reader
	known := reader != s.set.Self && view.Records[reader] != nil
	return reader, known && !slices.Contains(s.contact.unconfirmed, reader)
}

// leaderQueryIn returns the time until the next query of the leading reader.
func (s *State) leaderQueryIn(now time.Time, boot time.Duration, view *membership.View) time.Duration {
	if _, due := s.assuranceReader(boot, view); !due {
		return unconfirmedQueryInterval
	}
	return max(0, s.contact.nextQuery.Sub(now))
}

// AssuredAge returns the maximum time for which the version in force may have been superseded; see
// State.AssuredAge.
func (r *Runner) AssuredAge(now time.Time) (age time.Duration, known bool) {
	boot := r.clock.At(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.AssuredAge(boot)
}

// recordAssurance records the assurance in the answer to a request of this node. sentAt is when the
// request was sent, since boot.
func (r *Runner) recordAssurance(sentAt time.Duration, c *peerpb.Confirmation, number uint64) {
	if c == nil || c.AssuredAgeMs == nil {
		return
	}
	age := min(time.Duration(*c.AssuredAgeMs)*time.Millisecond, distribute.MaxConfirmedAge)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordAssurance(sentAt-age, number)
}

// recordSourceAssurance records that the source answered a request sent at sentAt, since boot.
func (r *Runner) recordSourceAssurance(sentAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.RecordAssurance(sentAt, r.state.Held().Number)
}

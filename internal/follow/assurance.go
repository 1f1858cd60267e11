package follow

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
)

// A confirmation is an estimate: a message may have lain behind a cut for seconds before it
// tells how old the newest answer of the source is. An assurance is certain. It counts from when
// a question was sent, to the source or to a peer, and goes on while the VM is suspended. What
// must not be trusted too long goes by it, as API keys that operators may have taken away.

// Assure notes that the version held was certainly the newest one at some time since the boot.
func (s *State) Assure(at time.Duration) {
	if !s.assured || at > s.assuredAt {
		s.assured, s.assuredAt = true, at
	}
}

// AssuredAge returns for how long the version held may have been replaced. known is unset
// where it may never have been the newest.
func (s *State) AssuredAge(boot time.Duration) (age time.Duration, known bool) {
	return boot - s.assuredAt, s.assured
}

// assureIn returns when this node has to ask for an assurance, so that one that it passes on is
// young enough for the nodes below it in a tree.
func (s *State) assureIn(boot time.Duration, place distribute.Position) time.Duration {
	age, known := s.AssuredAge(boot)
	if !known {
		return 0
	}
	depth := time.Duration(max(place.Depth, 1))
	return s.set.MaxAssuranceAge*depth/(depth+2) - age
}

// askReader returns the node that last had an answer of the source, where this one is a feeder and
// is to ask for an assurance. Those that a feeder depends on may be confirmed by a reader that
// stands in for them, and hold no young assurance themselves.
func (s *State) askReader(boot time.Duration, view *membership.View) (reader string, due bool) {
	place := s.placeIn(view)
	if s.set.MaxAssuranceAge == 0 || place.Depth > 0 || s.assureIn(boot, place) > 0 {
		return "", false
	}
	reader = s.confirmed.Reader
	known := reader != s.set.Self && view.Records[reader] != nil
	return reader, known && !slices.Contains(s.contact.missed, reader)
}

// askReaderIn returns when the reader that leads is to ask again.
func (s *State) askReaderIn(now time.Time, boot time.Duration, view *membership.View) time.Duration {
	if _, due := s.askReader(boot, view); !due {
		return askEvery
	}
	return max(0, s.contact.nextAsk.Sub(now))
}

// AssuredAge tells for how long the version held may have been replaced; see State.AssuredAge.
func (r *Runner) AssuredAge(now time.Time) (age time.Duration, known bool) {
	boot := r.clock.At(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.AssuredAge(boot)
}

// assure takes what the answer to a question of this node tells of the version held.
func (r *Runner) assure(asked time.Duration, c *peerpb.Confirmation, number uint64) {
	if c == nil || c.AssuredAgeMs == nil || number > r.held.Load().Version().Number {
		return
	}
	age := min(time.Duration(*c.AssuredAgeMs)*time.Millisecond, distribute.MaxConfirmedAge)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Assure(asked - age)
}

// assuredBySource notes that the source has answered a question that was sent at some time.
func (r *Runner) assuredBySource(asked time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Assure(asked)
}

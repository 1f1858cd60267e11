package once

import (
	"github.com/marlpass/marlpass/internal/call"

	lru "github.com/hashicorp/golang-lru/v2"
)

// recent caches the runs of local-guard classes that ended and were recorded in the table.
// Without it, a request could run twice: it runs and is recorded, the platform goes down, and a
// resend reaches the same node, which cannot read the row and would run the request again under a
// local guard.
type recent struct {
	runs *lru.Cache[string, recentRun]
}

// recentRun is a run that ended. A nil outcome means that the outcome is unknown.
type recentRun struct {
	fingerprint [32]byte
	outcome     *StoredOutcome
}

func newRecent(size int) recent {
	c, err := lru.New[string, recentRun](size)
	if err != nil {
		panic("once: MaxLocalKeys must be positive")
	}
	return recent{c}
}

func (m recent) add(key string, fingerprint [32]byte, s *StoredOutcome) {
	m.runs.Add(key, recentRun{fingerprint: fingerprint, outcome: truncateBody(s)})
}

// find returns the decision for a resend, and whether the key is known.
func (m recent) find(key string, fingerprint [32]byte) (b Decision, found bool, err error) {
	run, found := m.runs.Get(key)
	switch {
	case !found:
		return Decision{}, false, nil
	case run.fingerprint != fingerprint:
		return Decision{}, true, refusal(call.ReasonKeyReused, "")
	}
	return Decision{Replay: run.outcome, Unknown: run.outcome == nil}, true, nil
}

// truncateBody drops a body that is over maxLocalBody.
func truncateBody(s *StoredOutcome) *StoredOutcome {
	if s == nil || len(s.Body) <= maxLocalBody {
		return s
	}
	return &StoredOutcome{Status: s.Status, Header: s.Header, Truncated: true}
}

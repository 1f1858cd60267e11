package once

import (
	"github.com/marlpass/marlpass/internal/call"

	lru "github.com/hashicorp/golang-lru/v2"
)

// recent remembers keys of local-guard classes whose runs ended and were
// recorded in the table. It guards against this: a request runs and is
// recorded, the platform goes down, and a resend reaches the same node. Without
// a memory of its own the node could not read the row, and would run the
// request again under a guard.
type recent struct {
	runs *lru.Cache[string, recentRun]
}

// recentRun is a run that ended. A nil outcome means that it is not known.
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

// find returns what to answer to a resend, and whether the key is known.
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

// truncateBody drops a body that is too large to be remembered at a node.
func truncateBody(s *StoredOutcome) *StoredOutcome {
	if s == nil || len(s.Body) <= maxLocalBody {
		return s
	}
	return &StoredOutcome{Status: s.Status, Header: s.Header, Truncated: true}
}

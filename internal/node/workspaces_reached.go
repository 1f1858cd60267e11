package node

import (
	"sync"
	"time"
)

// unreachedFor is how long after its start a collector reserves the shares of data centres that it
// has not reached. It is as long as collectors reserve the share of a silent one.
const unreachedFor = 5 * time.Minute

// reachedCentres records which data centres have answered a collector since it started. One counts
// as unreached only after an attempt has failed: a collector that starts in a whole mesh reaches all
// of them within its first exchange, and must not refuse calls until then.
type reachedCentres struct {
	mu      sync.Mutex
	started time.Time
	centres map[string]bool // whether it has answered, of those tried
}

// tried records an attempt to reach a data centre.
func (r *reachedCentres) tried(now time.Time, dataCentre string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.centres == nil {
		r.started, r.centres = now, make(map[string]bool)
	}
	r.centres[dataCentre] = r.centres[dataCentre] || answered
}

// unreachedShare returns the share of the mesh's data centres that have not answered.
func (r *reachedCentres) unreachedShare(now time.Time, self string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.started) > unreachedFor {
		return 0
	}
	all, missing := 1, 0
	for dc, answered := range r.centres {
		if dc == self {
			continue
		}
		all++
		if !answered {
			missing++
		}
	}
	return float64(missing) / float64(all)
}

package node

import (
	"errors"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/query"
)

// maxFindings bounds the findings kept for the handover.
const maxFindings = 8

// findings keeps the last odd things that the spreading of versions met.
// Conflicts are not among them: distribute keeps those itself.
type findings struct {
	mu   sync.Mutex
	last []query.Finding // newest first
}

// note takes in one finding.
func (f *findings) note(now time.Time, found distribute.Finding) {
	var conflict *distribute.Conflict
	if errors.As(found, &conflict) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = append([]query.Finding{{At: now, Kind: found.Kind(), Detail: found.Error()}}, f.last...)
	f.last = f.last[:min(len(f.last), maxFindings)]
}

func (f *findings) list() []query.Finding {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]query.Finding(nil), f.last...)
}

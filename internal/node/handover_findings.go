package node

import (
	"errors"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/query"
)

// maxFindings bounds the findings kept for the handover report.
const maxFindings = 8

// findings keeps the latest anomalies in the distribution of versions, except conflicts, which
// distribute keeps itself.
type findings struct {
	mu   sync.Mutex
	last []query.Finding // newest first
}

// add adds a finding and drops the oldest above maxFindings.
func (f *findings) add(now time.Time, finding distribute.Finding) {
	var conflict *distribute.Conflict
	if errors.As(finding, &conflict) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.last = append([]query.Finding{{At: now, Kind: finding.Kind(), Detail: finding.Error()}}, f.last...)
	f.last = f.last[:min(len(f.last), maxFindings)]
}

func (f *findings) list() []query.Finding {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]query.Finding(nil), f.last...)
}

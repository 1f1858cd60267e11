package follow

import (
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
)

// RecordConfirmation records that reader read from the source at that time that no version is newer
// than the one held.
func (s *State) RecordConfirmation(at time.Time, reader string) {
	if at.After(s.confirmed.At) {
		s.confirmed = distribute.Confirmation{At: at, Reader: reader}
	}
}

// RecordRead records that this node read from the source at that time that no version is newer than
// the one held.
func (s *State) RecordRead(at time.Time) {
	s.answeredAt = at
	s.RecordConfirmation(at, s.set.Self)
}

// ConfirmedAge returns the age of the last confirmation of the version held, and the ID of the node
// that read it from the source. Without a confirmation it returns the time since the start.
func (s *State) ConfirmedAge(now time.Time) (age time.Duration, reader string) {
	if s.confirmed.At.IsZero() {
		return now.Sub(s.started), ""
	}
	return now.Sub(s.confirmed.At), s.confirmed.Reader
}

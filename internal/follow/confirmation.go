package follow

import (
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
)

// Confirm notes that reader was told by the source at some time that there is no version
// newer than the one held.
func (s *State) Confirm(at time.Time, reader string) {
	if at.After(s.confirmed.At) {
		s.confirmed = distribute.Confirmation{At: at, Reader: reader}
	}
}

// Read notes that the source has told this node at some time that no version is newer than the
// one held.
func (s *State) Read(at time.Time) {
	s.answered = at
	s.Confirm(at, s.set.Self)
}

// ConfirmedAge returns for how long nothing has confirmed the version held, and whose
// reading of the source did so last. It is the time since the start if nothing ever did.
func (s *State) ConfirmedAge(now time.Time) (age time.Duration, reader string) {
	if s.confirmed.At.IsZero() {
		return now.Sub(s.started), ""
	}
	return now.Sub(s.confirmed.At), s.confirmed.Reader
}

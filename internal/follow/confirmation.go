package follow

import "time"

// confirmation is the newest answer of the source that is known here and makes the version
// held the newest.
type confirmation struct {
	at     time.Time // zero if there is none
	reader string    // id of the node that had the answer
}

// Confirm notes that reader was told by the source at some time that there is no version
// newer than the one held.
func (s *State) Confirm(at time.Time, reader string) {
	if at.After(s.confirmed.at) {
		s.confirmed = confirmation{at, reader}
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
	if s.confirmed.at.IsZero() {
		return now.Sub(s.started), ""
	}
	return now.Sub(s.confirmed.at), s.confirmed.reader
}

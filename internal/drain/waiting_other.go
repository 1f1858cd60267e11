//go:build !unix

package drain

// somebodyWaits reports nothing where the system can't be asked.
func (l *Listener) somebodyWaits() bool { return false }

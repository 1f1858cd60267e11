//go:build !unix

package drain

// hasPending reports false where the system has no way to check.
func (l *Listener) hasPending() bool { return false }

package announce

import (
	"errors"
	"fmt"
)

// Errors of the registry.
var (
	ErrTooMany = errors.New("announce: too many backend servers on this VM")
	// ErrStale reports an announcement that is older than the known state: it
	// arrived late, or its instance has left or was replaced.
	ErrStale = errors.New("announce: the announcement is older than the known state")
	// ErrNotLoopback reports a listen address that is reachable from the network.
	ErrNotLoopback = errors.New("announce: the address is not on loopback")
)

// FieldError reports an invalid field of an announcement and the reason.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("announce: %s %s", e.Field, e.Reason) }

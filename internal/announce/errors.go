package announce

import (
	"errors"
	"fmt"
)

// Errors of the registry.
var (
	ErrTooMany = errors.New("announce: too many backend servers on this VM")
	// ErrStale means that an announcement is older than what is known: it comes
	// late, or from an instance that has left or was replaced.
	ErrStale = errors.New("announce: the announcement is older than what is known")
	// ErrNotLoopback means that a listen address would be open to the network.
	ErrNotLoopback = errors.New("announce: the address is not on loopback")
)

// FieldError says which field of an announcement is not allowed and why.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("announce: %s %s", e.Field, e.Reason) }

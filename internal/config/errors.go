package config

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of this package that carry no detail.
var (
	ErrBadHash = errors.New("config: not a hash")
	// ErrWrongParent means that a delta was made for another snapshot.
	ErrWrongParent = errors.New("config: the delta is for another parent")
	// ErrHashMismatch means that applying a delta gave another hash than it
	// promises: the delta is damaged or forged.
	ErrHashMismatch = errors.New("config: the result does not have the promised hash")
	// ErrOtherHistory means that a snapshot belongs to another history than
	// the one held, for example that of a restored backup.
	ErrOtherHistory = errors.New("config: the version belongs to another history")
	// ErrTooLarge means that decoding would give more bytes than allowed.
	ErrTooLarge = errors.New("config: larger than allowed")
	// ErrBadEncoding means that bytes are no encoded snapshot or deltas.
	ErrBadEncoding = errors.New("config: cannot be decoded")
)

// ObjectError says what is wrong with one object.
type ObjectError struct {
	Key    Key
	Reason string
}

func (e *ObjectError) Error() string { return fmt.Sprintf("config: %s %s", e.Key, e.Reason) }

// Problem is one reason why a snapshot is not consistent. Field is the JSON
// name of the field at fault, or empty when the object as a whole is.
type Problem struct {
	Key    Key    `json:"key"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
	// Missing names the objects that Key refers to and that are not there.
	Missing []string `json:"missing,omitempty"`
	// Dependents names the objects that still need Key.
	Dependents []string `json:"dependents,omitempty"`
}

// String returns the problem as one line.
func (p Problem) String() string {
	s := p.Key.String()
	if p.Field != "" {
		s += " " + p.Field
	}
	s += ": " + p.Reason
	if len(p.Missing) > 0 {
		s += " (missing: " + strings.Join(p.Missing, ", ") + ")"
	}
	if len(p.Dependents) > 0 {
		s += " (needed by: " + strings.Join(p.Dependents, ", ") + ")"
	}
	return s
}

// CheckError lists every problem found in a snapshot.
type CheckError struct{ Problems []Problem }

func (e *CheckError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return "config: " + strings.Join(lines, "; ")
}

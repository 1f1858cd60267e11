package command

import (
	"errors"
	"fmt"

	"github.com/marlpass/marlpass/internal/config"
)

// Errors of this package that carry no detail. Test with errors.Is.
var (
	// ErrOlderHead means that the platform shows an older version than is
	// known: a stale read, or a restored backup if it stays so.
	ErrOlderHead = errors.New("command: the platform shows an older head")
	// ErrOtherHistory means that the platform holds a version that does not
	// descend from the one known.
	ErrOtherHistory = errors.New("command: the platform holds another history")
	// ErrCompacted means that the log no longer reaches back to the version
	// asked for. Load a snapshot instead.
	ErrCompacted = errors.New("command: the log no longer reaches back that far")
	// ErrIncomplete means that the platform did not show all log rows up to
	// its head: a stale read.
	ErrIncomplete = errors.New("command: the log does not reach the head")
	// ErrNoSnapshot means that no snapshot object could be read.
	ErrNoSnapshot = errors.New("command: no snapshot can be read")
	// ErrNoPeer means that a command was sent to no peer.
	ErrNoPeer = errors.New("command: no peer to send to")
)

// HistoryError tells which versions an ErrOlderHead or ErrOtherHistory is
// about.
type HistoryError struct {
	Platform config.Version
	Known    config.Version
	Err      error
}

func (e *HistoryError) Error() string {
	return fmt.Sprintf("%v: it shows %s, known is %s", e.Err, e.Platform, e.Known)
}

// Unwrap returns ErrOlderHead or ErrOtherHistory.
func (e *HistoryError) Unwrap() error { return e.Err }

// RowError says what is wrong with one row.
type RowError struct {
	Key string
	Err error
}

func (e *RowError) Error() string { return fmt.Sprintf("command: row %s: %v", e.Key, e.Err) }

// Unwrap returns what is wrong.
func (e *RowError) Unwrap() error { return e.Err }

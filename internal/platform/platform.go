// Package platform is the mesh's view of the service it keeps its lasting
// state in: a transactional table and an object store.
//
// Everything that must last or be agreed on goes through these two narrow
// interfaces. An implementation must bound every call by its context and must
// tell three kinds of failure apart, because callers act differently on each:
//
//   - ErrUnavailable: the operation did not take effect.
//   - ErrUnknown: a write may or may not have taken effect. The caller has to
//     read back a row that only its own write could have made.
//   - *ConflictError: a condition did not hold; nothing was written.
package platform

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Errors that carry no detail. Adapters wrap them, so test with errors.Is.
var (
	ErrNotFound    = errors.New("platform: not found")
	ErrUnavailable = errors.New("platform: unavailable")
	ErrUnknown     = errors.New("platform: the outcome of the write is unknown")
	ErrLimited     = fmt.Errorf("%w: over its rate limit", ErrUnavailable)
)

// Row is one row of the table. Revision changes with every write to the row
// and is never zero for a row that exists.
type Row struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Absent is the revision that a Condition uses to ask that a row not exist.
const Absent uint64 = 0

// Condition holds when the row has exactly this revision; Absent asks that it
// does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Write sets a row, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a set of writes that take effect together, and only if every
// condition holds.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// ConflictError names the conditions that did not hold.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string {
	return "platform: conflict on " + strings.Join(e.Keys, ", ")
}

// Table is the transactional table. Keys are ordered by bytes.
type Table interface {
	// Get returns the row, or ErrNotFound. A read may be stale.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose key begins with prefix and is
	// greater than after, in key order.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t whole or not at all.
	Commit(ctx context.Context, t Txn) error
}

// Objects is the object store. Objects are written once under a name that
// follows from their content, so writing one again is harmless.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
	// List returns up to limit names that begin with prefix and are greater
	// than after, in order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

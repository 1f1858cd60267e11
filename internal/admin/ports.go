package admin

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// Change is one object that an operator states or withdraws.
type Change struct {
	// Command identifies the change. Sent again under the same id it takes
	// effect once.
	Command string
	By      Operator
	// Expect is the configuration version that the operator read, or nil
	// when any will do.
	Expect *uint64
	Note   string
	Key    config.Key
	// Service or Target is the object to set; both are nil to withdraw Key.
	// Their Team is the operator's.
	Service *config.Service
	Target  *config.Target
}

// Withdraws reports whether the change removes its object.
func (c *Change) Withdraws() bool { return c.Service == nil && c.Target == nil }

// Outcome is what became of a change that was not refused.
type Outcome struct {
	// Unknown means that the change may or may not have taken effect.
	Unknown bool
	Version config.Version // unless Unknown
	Created bool           // the object is new
	Detail  string         // why it is unknown
}

// Commander takes changes. A refusal is an error: *RefusedError,
// *PreconditionError, *ForbiddenError, *NotFoundError, *InvalidError or
// *UnavailableError, and means that nothing was changed.
type Commander interface {
	Submit(ctx context.Context, c *Change) (Outcome, error)
}

// HistoryQuery selects accepted changes, newest first.
type HistoryQuery struct {
	Since  time.Time   // zero for all
	Key    *config.Key // nil for all
	Before uint64      // only versions below it; zero for all
	Limit  int
}

// Reader answers questions. Its answers are the API's own shapes, so that each
// is filled in once. Errors are *NotFoundError or *UnavailableError.
type Reader interface {
	// Snapshot returns the configuration in force at this node.
	Snapshot() *config.Snapshot
	Command(ctx context.Context, id string) (*adminapi.CommandRecord, error)
	// Diff compares two versions; a nil to is the version in force.
	Diff(ctx context.Context, from uint64, to *uint64) (*adminapi.Diff, error)
	History(ctx context.Context, q HistoryQuery) (*adminapi.History, error)
	Handover(ctx context.Context, since time.Time) (*adminapi.Handover, error)
	Status(ctx context.Context) (*adminapi.Status, error)
}

package admin

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// Commander takes commands; command.Committer and command.Forwarder do.
type Commander = command.Submitter

// HistoryQuery selects accepted changes, newest first.
type HistoryQuery struct {
	Since  time.Time   // zero for all
	Key    *config.Key // nil for all
	Before uint64      // only versions below it; zero for all
	Limit  int
}

// Reader answers questions. Its answers are the API's own shapes, so that each
// is filled in once; HandoverOf, HistoryOf, DiffOf and RecordOf help with that. Errors are
// *NotFoundError or *UnavailableError.
type Reader interface {
	// Snapshot returns the configuration in force at this node.
	Snapshot() *config.Snapshot
	// Command tells what is recorded of a command. One without a record has
	// the outcome none.
	Command(ctx context.Context, id string) (*adminapi.CommandRecord, error)
	// Diff compares two versions; a nil to is the version in force.
	Diff(ctx context.Context, from uint64, to *uint64) (*adminapi.Diff, error)
	History(ctx context.Context, q HistoryQuery) (*adminapi.History, error)
	Handover(ctx context.Context, since time.Time) (*adminapi.Handover, error)
	Status(ctx context.Context) (*adminapi.Status, error)
	// Quarantine lists the requests that are suspect, quarantined or lifted.
	Quarantine(ctx context.Context) (*adminapi.QuarantineList, error)
}

// Lifter lets a suspect or quarantined request run again. The error is
// quarantine.ErrNotListed when the request is not held. Of one that is lifted
// already, liftedBy tells who did it first.
type Lifter interface {
	Lift(ctx context.Context, fp quarantine.Fingerprint, by string) (liftedBy string, err error)
}

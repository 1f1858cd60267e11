package admin

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
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

// Reader answers questions. Apart from what config and command have types for,
// its answers are the API's own shapes, so that each is filled in once. Errors
// are *NotFoundError or *UnavailableError.
type Reader interface {
	// Snapshot returns the configuration in force at this node.
	Snapshot() *config.Snapshot
	// Command returns the record of a command, or *NotFoundError.
	Command(ctx context.Context, id string) (command.Record, error)
	// Diff compares two versions; a nil to is the version in force.
	Diff(ctx context.Context, from uint64, to *uint64) (*adminapi.Diff, error)
	History(ctx context.Context, q HistoryQuery) (*adminapi.History, error)
	Handover(ctx context.Context, since time.Time) (*adminapi.Handover, error)
	Status(ctx context.Context) (*adminapi.Status, error)
}

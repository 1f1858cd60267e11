package admin

import (
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// Errors of authentication. The text never holds any part of a token.
var (
	errNoToken       = errors.New("admin: no valid token")
	errTooManyTokens = errors.New("admin: too many requests without a valid token")
	errReadOnly      = errors.New("admin: the token is for reading only")
	errBusy          = errors.New("admin: too many commands at once")
)

// RefusedError means that the change would leave the configuration
// inconsistent, or reuses a command id for something else.
type RefusedError struct {
	Detail   string
	Problems []config.Problem
}

func (e *RefusedError) Error() string { return "admin: refused: " + e.Detail }

// InvalidError means that the stated object is not allowed as it stands.
type InvalidError struct{ Problems []config.Problem }

func (e *InvalidError) Error() string {
	return (&config.CheckError{Problems: e.Problems}).Error()
}

// PreconditionError means that the configuration is no longer at the version
// that the operator read.
type PreconditionError struct {
	Expected uint64
	Current  config.Version
	// Changes is what differs between the two, or nil when it can't be told.
	Changes []adminapi.ObjectChange
}

func (e *PreconditionError) Error() string {
	return fmt.Sprintf("admin: the configuration is at version %d, not %d", e.Current.Number, e.Expected)
}

// ForbiddenError means that the object belongs to another team.
type ForbiddenError struct {
	Key  config.Key
	Team string // whose it is
}

func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("admin: %s belongs to team %s", e.Key, e.Team)
}

// NotFoundError means that there is no such object or version.
type NotFoundError struct{ What string }

func (e *NotFoundError) Error() string { return "admin: no " + e.What }

// UnavailableError means that the platform could not be reached and nothing
// was changed.
type UnavailableError struct {
	Detail     string
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string { return "admin: " + e.Detail }

// refusal reports whether err is one of the errors that promise that nothing
// was changed.
//
// It guards against an error that nobody thought of, such as a request that was
// cancelled while the platform was writing. Told as a refusal it would make an
// operator state a change again that is already in force; so whatever is not
// known to be a refusal is told as an unknown outcome.
func refusal(err error) bool {
	var (
		refused      *RefusedError
		invalid      *InvalidError
		precondition *PreconditionError
		forbidden    *ForbiddenError
		notFound     *NotFoundError
		unavailable  *UnavailableError
	)
	return errors.As(err, &refused) || errors.As(err, &invalid) ||
		errors.As(err, &precondition) || errors.As(err, &forbidden) ||
		errors.As(err, &notFound) || errors.As(err, &unavailable)
}

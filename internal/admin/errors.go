package admin

import (
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
)

// Errors of authentication and admission. The text never holds any part of a
// token.
var (
	errNoToken       = errors.New("admin: no valid token")
	errTooManyTokens = errors.New("admin: too many requests without a valid token")
	errReadOnly      = errors.New("admin: the token is for reading only")
	errBusy          = errors.New("admin: too many commands at once")
)

// refusedError carries the refusal of a command.
type refusedError struct {
	result command.Result
	key    config.Key // what the command touches
}

func (e *refusedError) Error() string {
	return "admin: " + string(e.result.Reason) + ": " + e.result.Detail
}

// parameterError says which parameter of a request is not allowed.
type parameterError struct {
	name   string
	reason string
}

func (e *parameterError) Error() string { return "admin: " + e.name + " " + e.reason }

// NotFoundError means that there is no such object, version or command.
type NotFoundError struct{ What string }

func (e *NotFoundError) Error() string { return "admin: no " + e.What }

// UnavailableError means that a question can't be answered now.
type UnavailableError struct {
	Detail     string
	RetryAfter time.Duration
}

func (e *UnavailableError) Error() string { return "admin: " + e.Detail }

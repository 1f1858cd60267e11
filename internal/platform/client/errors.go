package client

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/marlpass/marlpass/internal/gen/platformapi"
	"github.com/marlpass/marlpass/internal/platform"
)

// Error is an operation that failed. Kind is one of the platform's errors and
// Cause what went wrong in the last try; errors.Is and errors.As find both.
type Error struct {
	Op    string
	Name  string // the key, prefix or object name
	Tries int
	Kind  error
	Cause error
}

func (e *Error) Error() string {
	return fmt.Sprintf("platform client: %s %q, %d tries: %v: %v", e.Op, e.Name, e.Tries, e.Kind, e.Cause)
}

// Unwrap returns the kind and the cause.
func (e *Error) Unwrap() []error { return []error{e.Kind, e.Cause} }

// ProblemError is the platform's own word on why an operation failed.
type ProblemError struct {
	Status int
	Title  string
	Detail string
}

func (e *ProblemError) Error() string {
	return fmt.Sprintf("status %d: %s: %s", e.Status, e.Title, e.Detail)
}

var errTooLarge = errors.New("the object is too large")

// failure is what is known of a failed try.
type failure struct {
	kind  error // platform.ErrUnavailable or ErrLimited: not applied; ErrUnknown: in doubt
	cause error
	final bool // another try would fail as well
}

// doubtful reports whether the try may have taken effect.
func (f *failure) doubtful() bool { return errors.Is(f.kind, platform.ErrUnknown) }

// answered reports whether the platform itself said what went wrong.
func (f *failure) answered() bool {
	var p *ProblemError
	return errors.As(f.cause, &p) && (p.Status < http.StatusInternalServerError)
}

// newFailure says what err means for a try that got as far as p.
func newFailure(err error, p *progress) *failure {
	if p.status.Load() == http.StatusTooManyRequests {
		return &failure{kind: platform.ErrLimited, cause: cause(err)}
	}
	var problem *platformapi.ProblemStatusCode
	if errors.As(err, &problem) {
		f := &failure{kind: platform.ErrUnknown, cause: cause(err)}
		if problem.Response.NotApplied {
			f.kind = platform.ErrUnavailable
			f.final = problem.StatusCode < http.StatusInternalServerError
		}
		return f
	}
	if p.traced && (!p.connected.Load() || dialFailed(err)) {
		return &failure{kind: platform.ErrUnavailable, cause: err}
	}
	return &failure{kind: platform.ErrUnknown, cause: err}
}

// dialFailed reports whether a connection could not be made. The transport
// may have had a connection before, which turned out to be closed. It then
// makes another only if no byte of the request was written to the first.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func cause(err error) error {
	var problem *platformapi.ProblemStatusCode
	if !errors.As(err, &problem) {
		return err
	}
	return &ProblemError{
		Status: problem.StatusCode,
		Title:  problem.Response.Title,
		Detail: problem.Response.Detail.Or(""),
	}
}

package server

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/marlpass/marlpass/internal/gen/platformapi"
	"github.com/marlpass/marlpass/internal/platform"
)

const problemType = "application/problem+json"

// bodyError means that a request's body could not be read whole.
type bodyError struct{ err error }

func (e *bodyError) Error() string { return "platform: body: " + e.err.Error() }
func (e *bodyError) Unwrap() error { return e.err }

// answerOrCut lets an error through to be answered, but cuts the connection
// for a write whose outcome the caller must not learn.
func answerOrCut(err error) error {
	if errors.Is(err, platform.ErrUnknown) {
		panic(http.ErrAbortHandler)
	}
	return err
}

// NewError implements platformapi.Handler.
func (h handler) NewError(_ context.Context, err error) *platformapi.ProblemStatusCode {
	status, title, notApplied := classify(err)
	return &platformapi.ProblemStatusCode{
		StatusCode: status,
		Response: platformapi.Problem{
			Title:      title,
			Status:     status,
			Detail:     platformapi.NewOptString(err.Error()),
			NotApplied: notApplied,
		},
	}
}

func classify(err error) (status int, title string, notApplied bool) {
	var body *bodyError
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, platform.ErrLimited):
		return http.StatusTooManyRequests, "Over the rate limit", true
	case errors.Is(err, platform.ErrUnavailable):
		return http.StatusServiceUnavailable, "Unavailable", true
	case errors.As(err, &large):
		return http.StatusRequestEntityTooLarge, "The body is too large", true
	case errors.As(err, &body):
		return http.StatusBadRequest, "The body is not whole", true
	}
	return http.StatusInternalServerError, "Internal error", false
}

// badRequest answers a request that could not be decoded, so nothing was done.
func badRequest(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	p := platformapi.Problem{
		Title:      "The request is not valid",
		Status:     ogenerrors.ErrorCode(err),
		Detail:     platformapi.NewOptString(err.Error()),
		NotApplied: true,
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		p.Status = http.StatusRequestEntityTooLarge
	}
	if p.Status >= http.StatusInternalServerError {
		// The operation had run and its answer could not be encoded.
		p.NotApplied = false
	}
	data, err := json.Marshal(&p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(p.Status)
	// The caller may be gone; there is nobody else to tell.
	_, _ = w.Write(data)
}

func notFound() *platformapi.NotFound {
	return &platformapi.NotFound{
		Title:  "There is none of this name",
		Status: http.StatusNotFound,
		Code:   platformapi.NotFoundCodeNotFound,
	}
}

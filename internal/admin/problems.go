package admin

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/problem"
)

// TypePrefix begins the type of every problem document of this API. A refused
// command's type ends in its command.Reason.
const TypePrefix = "urn:marlpass:problem:"

// Types of problem documents that are not about a command's refusal.
const (
	TypeUnauthorized = TypePrefix + "unauthorized"
	TypeReadOnly     = TypePrefix + "read-only"
	TypeMalformed    = TypePrefix + string(command.ReasonMalformed)
	TypeNotFound     = TypePrefix + string(command.ReasonNotFound)
	TypeUnavailable  = TypePrefix + string(command.ReasonUnavailable)
	TypeTooMany      = TypePrefix + "too-many"
	TypeInternal     = TypePrefix + "internal"
)

// What a client is told to wait, in whole seconds at least.
const (
	tooManyRetryAfter = time.Second
	refusedRetryAfter = 2 * time.Second
)

type document = adminapi.ProblemStatusCodeWithHeaders

// NewError turns an error into a problem document.
func (h handler) NewError(_ context.Context, err error) *document {
	d := toDocument(err)
	var c *commandError
	if errors.As(err, &c) {
		d.MarlpassCommand.SetTo(c.command)
	}
	if d.StatusCode == http.StatusInternalServerError {
		h.s.log.Error().Err(err).Msg("admin: request failed")
	}
	return d
}

func toDocument(err error) *document {
	if f, ok := problem.FromDecoder(err); ok {
		d := newDocument(f.Status, TypeMalformed, f.Detail)
		d.Response.Field = optString(f.Field)
		return d
	}
	if d := authDocument(err); d != nil {
		return d
	}
	return errorDocument(err)
}

func newDocument(status int, kind, detail string) *document {
	return &document{
		StatusCode: status,
		Response: adminapi.Problem{
			Type:   kind,
			Title:  http.StatusText(status),
			Status: status,
			Detail: optString(detail),
		},
	}
}

// authDocument returns nil when err is not about who the caller is. Whatever
// else ogen's security layer reports is 401.
func authDocument(err error) *document {
	var security *ogenerrors.SecurityError
	switch {
	case errors.Is(err, errReadOnly):
		return newDocument(http.StatusForbidden, TypeReadOnly, "the token is for reading only")
	case errors.Is(err, errTooManyTokens):
		return retryDocument(http.StatusTooManyRequests, TypeTooMany, "too many requests without a valid token", tooManyRetryAfter)
	case errors.As(err, &security):
		d := newDocument(http.StatusUnauthorized, TypeUnauthorized, "no valid token")
		d.WWWAuthenticate.SetTo(`Bearer realm="marlpass"`)
		return d
	}
	return nil
}

func errorDocument(err error) *document {
	var (
		refused     *refusedError
		parameter   *parameterError
		notFound    *NotFoundError
		unavailable *UnavailableError
	)
	switch {
	case errors.As(err, &refused):
		return refusalDocument(refused)
	case errors.As(err, &parameter):
		d := newDocument(http.StatusUnprocessableEntity, TypeMalformed, parameter.reason)
		d.Response.Field.SetTo(parameter.name)
		return d
	case errors.As(err, &notFound):
		return newDocument(http.StatusNotFound, TypeNotFound, "there is no "+notFound.What)
	case errors.As(err, &unavailable):
		return retryDocument(http.StatusServiceUnavailable, TypeUnavailable, unavailable.Detail, unavailable.RetryAfter)
	case errors.Is(err, errBusy):
		return retryDocument(http.StatusTooManyRequests, TypeTooMany, "too many commands at once", tooManyRetryAfter)
	}
	return newDocument(http.StatusInternalServerError, TypeInternal, "internal error")
}

// refusalStatus holds the status of each refusal that has one of its own. A
// refusal that may pass is 503, and ReasonInvalid is 409 or 422.
var refusalStatus = map[command.Reason]int{
	command.ReasonMalformed: http.StatusUnprocessableEntity,
	command.ReasonIDReused:  http.StatusConflict,
	command.ReasonForbidden: http.StatusForbidden,
	command.ReasonTeamFull:  http.StatusConflict,
	command.ReasonConflict:  http.StatusPreconditionFailed,
	command.ReasonNotFound:  http.StatusNotFound,
}

func refusalDocument(e *refusedError) *document {
	r := e.result
	kind := TypePrefix + string(r.Reason)
	if r.Reason.Retryable() {
		return retryDocument(http.StatusServiceUnavailable, kind, r.Detail, refusedRetryAfter)
	}
	status, known := refusalStatus[r.Reason]
	if !known {
		status = invalidStatus(e)
	}
	d := newDocument(status, kind, r.Detail)
	for _, p := range r.Problems {
		d.Response.Problems = append(d.Response.Problems, itemOf(p))
	}
	if status == http.StatusUnprocessableEntity && len(r.Problems) > 0 {
		d.Response.Field = optString(r.Problems[0].Field)
	}
	if r.Reason == command.ReasonConflict {
		d.Response.Current.SetTo(adminapi.VersionNumber(r.Head))
		d.Response.Changes = conflictsOf(r.Conflicts)
	}
	return d
}

// invalidStatus tells a bad field of the stated object (422) from a clash with
// other objects (409).
func invalidStatus(e *refusedError) int {
	for _, p := range e.result.Problems {
		if p.Key != e.key || len(p.Missing) > 0 || len(p.Dependents) > 0 {
			return http.StatusConflict
		}
	}
	return http.StatusUnprocessableEntity
}

func retryDocument(status int, kind, detail string, after time.Duration) *document {
	d := newDocument(status, kind, detail)
	d.RetryAfter.SetTo(max(1, int(math.Ceil(after.Seconds()))))
	return d
}

// undecoded answers a request that never reached the handler.
func (s *Server) undecoded(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	s.write(w, handler{s}.NewError(ctx, err))
}

func (s *Server) noSuchPath(w http.ResponseWriter, _ *http.Request) {
	s.write(w, newDocument(http.StatusNotFound, TypeNotFound, "there is no such path"))
}

func (s *Server) write(w http.ResponseWriter, d *document) {
	body, err := d.Response.MarshalJSON()
	if err != nil {
		s.log.Error().Err(err).Msg("admin: encode a problem")
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(d.StatusCode)
	_, _ = w.Write(body)
}

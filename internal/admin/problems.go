package admin

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/problem"
)

// Types of problem documents. Clients tell refusals apart by them.
const (
	typePrefix       = "urn:marlpass:problem:"
	TypeRefused      = typePrefix + "refused"
	TypePrecondition = typePrefix + "precondition"
	TypeForbidden    = typePrefix + "forbidden"
	TypeUnauthorized = typePrefix + "unauthorized"
	TypeInvalid      = typePrefix + "invalid"
	TypeNotFound     = typePrefix + "not-found"
	TypeUnavailable  = typePrefix + "unavailable"
	TypeBusy         = typePrefix + "busy"
	TypeInternal     = typePrefix + "internal"
)

// busyRetryAfter is what a client is told to wait when too many commands or
// bad tokens come at once.
const busyRetryAfter = time.Second

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
		d := newDocument(f.Status, TypeInvalid, f.Detail)
		d.Response.Field = optString(f.Field)
		return d
	}
	if d := authDocument(err); d != nil {
		return d
	}
	return refusalDocument(err)
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
		return newDocument(http.StatusForbidden, TypeForbidden, "the token is for reading only")
	case errors.Is(err, errTooManyTokens):
		return retryDocument(http.StatusTooManyRequests, TypeBusy, "too many requests without a valid token", busyRetryAfter)
	case errors.As(err, &security):
		d := newDocument(http.StatusUnauthorized, TypeUnauthorized, "no valid token")
		d.WWWAuthenticate.SetTo(`Bearer realm="marlpass"`)
		return d
	}
	return nil
}

func refusalDocument(err error) *document {
	var (
		refused      *RefusedError
		invalid      *InvalidError
		precondition *PreconditionError
		forbidden    *ForbiddenError
		notFound     *NotFoundError
		unavailable  *UnavailableError
	)
	switch {
	case errors.As(err, &refused):
		return withProblems(newDocument(http.StatusConflict, TypeRefused, refused.Detail), refused.Problems)
	case errors.As(err, &invalid):
		return withProblems(newDocument(http.StatusUnprocessableEntity, TypeInvalid, ""), invalid.Problems)
	case errors.As(err, &precondition):
		return preconditionDocument(precondition)
	case errors.As(err, &forbidden):
		return newDocument(http.StatusForbidden, TypeForbidden, forbidden.Key.String()+" belongs to team "+forbidden.Team)
	case errors.As(err, &notFound):
		return newDocument(http.StatusNotFound, TypeNotFound, "there is no "+notFound.What)
	case errors.As(err, &unavailable):
		return retryDocument(http.StatusServiceUnavailable, TypeUnavailable, unavailable.Detail, unavailable.RetryAfter)
	case errors.Is(err, errBusy):
		return retryDocument(http.StatusTooManyRequests, TypeBusy, "too many commands at once", busyRetryAfter)
	}
	return newDocument(http.StatusInternalServerError, TypeInternal, "internal error")
}

func preconditionDocument(e *PreconditionError) *document {
	d := newDocument(http.StatusPreconditionFailed, TypePrecondition,
		"the configuration is at version "+strconv.FormatUint(e.Current.Number, 10)+
			", not "+strconv.FormatUint(e.Expected, 10))
	d.Response.Current.SetTo(versionOf(e.Current))
	d.Response.Changes = e.Changes
	return d
}

// withProblems lists the problems; the first that names a field is the field
// of the document.
func withProblems(d *document, ps []config.Problem) *document {
	for _, p := range ps {
		d.Response.Problems = append(d.Response.Problems, itemOf(p))
		if !d.Response.Field.Set {
			d.Response.Field = optString(p.Field)
		}
		if !d.Response.Detail.Set {
			d.Response.Detail.SetTo(p.Reason)
		}
	}
	return d
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

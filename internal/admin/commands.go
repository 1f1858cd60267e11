package admin

import (
	"context"
	"net/url"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// MaxNote is the length in characters of the longest note.
const MaxNote = 200

// handler adapts a Server to the generated interface.
type handler struct{ s *Server }

// writeHeaders are the headers that every write takes.
type writeHeaders struct {
	command adminapi.OptCommandID
	ifMatch adminapi.OptString
	note    adminapi.OptString
}

// fill reads the headers into c.
func (h writeHeaders) fill(c *Change) error {
	if tag, ok := h.ifMatch.Get(); ok {
		n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
		if err != nil {
			return invalidHeader(c.Key, "If-Match", "must be a version number in quotes")
		}
		c.Expect = &n
	}
	note, err := url.PathUnescape(h.note.Or(""))
	if err != nil || !utf8.ValidString(note) {
		return invalidHeader(c.Key, "Marlpass-Note", "must be percent-encoded UTF-8")
	}
	if utf8.RuneCountInString(note) > MaxNote {
		return invalidHeader(c.Key, "Marlpass-Note", "must be at most 200 characters")
	}
	c.Note = note
	return nil
}

func invalidHeader(k config.Key, name, reason string) error {
	return &InvalidError{Problems: []config.Problem{{Key: k, Field: name, Reason: reason}}}
}

// etag writes a version number as an entity tag.
func etag(number uint64) string { return strconv.Quote(strconv.FormatUint(number, 10)) }

func accepted(c *Change, out Outcome) adminapi.AcceptedHeaders {
	return adminapi.AcceptedHeaders{
		ETag:            etag(out.Version.Number),
		MarlpassCommand: c.Command,
		Response:        adminapi.Accepted{Command: c.Command, Version: versionOf(out.Version)},
	}
}

func unknown(c *Change, out Outcome) *adminapi.UnknownHeaders {
	return &adminapi.UnknownHeaders{
		MarlpassCommand: c.Command,
		Response:        adminapi.Unknown{Command: c.Command, Detail: out.Detail},
	}
}

func (h handler) PutService(ctx context.Context, req *adminapi.ServiceSpec, p adminapi.PutServiceParams) (adminapi.PutServiceRes, error) {
	name := string(p.Name)
	c := &Change{
		Key: config.Key{Kind: config.KindService, Name: name},
		Service: &config.Service{
			Name:        name,
			Team:        operatorOf(ctx).Team,
			Description: req.Description.Or(""),
		},
	}
	out, err := h.s.submit(ctx, c, writeHeaders{p.MarlpassCommand, p.IfMatch, p.MarlpassNote})
	if err != nil {
		return nil, err
	}
	if out.Unknown {
		return unknown(c, out), nil
	}
	ok := accepted(c, out)
	if out.Created {
		created := adminapi.CreatedHeaders(ok)
		return &created, nil
	}
	return &ok, nil
}

func (h handler) PutTarget(ctx context.Context, req *adminapi.TargetSpec, p adminapi.PutTargetParams) (adminapi.PutTargetRes, error) {
	name := string(p.Name)
	target := targetFrom(req)
	target.Name = name
	target.Team = operatorOf(ctx).Team
	c := &Change{Key: config.Key{Kind: config.KindTarget, Name: name}, Target: &target}
	out, err := h.s.submit(ctx, c, writeHeaders{p.MarlpassCommand, p.IfMatch, p.MarlpassNote})
	if err != nil {
		return nil, err
	}
	if out.Unknown {
		return unknown(c, out), nil
	}
	ok := accepted(c, out)
	if out.Created {
		created := adminapi.CreatedHeaders(ok)
		return &created, nil
	}
	return &ok, nil
}

func (h handler) WithdrawService(ctx context.Context, p adminapi.WithdrawServiceParams) (adminapi.WithdrawServiceRes, error) {
	c := &Change{Key: config.Key{Kind: config.KindService, Name: string(p.Name)}}
	out, err := h.s.submit(ctx, c, writeHeaders{p.MarlpassCommand, p.IfMatch, p.MarlpassNote})
	if err != nil {
		return nil, err
	}
	if out.Unknown {
		return unknown(c, out), nil
	}
	ok := accepted(c, out)
	return &ok, nil
}

func (h handler) WithdrawTarget(ctx context.Context, p adminapi.WithdrawTargetParams) (adminapi.WithdrawTargetRes, error) {
	c := &Change{Key: config.Key{Kind: config.KindTarget, Name: string(p.Name)}}
	out, err := h.s.submit(ctx, c, writeHeaders{p.MarlpassCommand, p.IfMatch, p.MarlpassNote})
	if err != nil {
		return nil, err
	}
	if out.Unknown {
		return unknown(c, out), nil
	}
	ok := accepted(c, out)
	return &ok, nil
}

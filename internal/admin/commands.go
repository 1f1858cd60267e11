package admin

import (
	"context"
	"net/url"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/google/uuid"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// handler adapts a Server to the generated interface.
type handler struct{ s *Server }

// writeHeaders are the headers that every write takes.
type writeHeaders struct {
	command adminapi.OptCommandID
	repeat  adminapi.OptBool
	ifMatch adminapi.OptString
	note    adminapi.OptString
}

// fill reads the headers into c.
func (h writeHeaders) fill(c *command.Command) error {
	c.Repeat = h.repeat.Or(false)
	if tag, ok := h.ifMatch.Get(); ok {
		n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
		if err != nil {
			return &parameterError{"If-Match", "must be a version number in quotes"}
		}
		c.Base = &n
	}
	note, err := url.PathUnescape(h.note.Or(""))
	if err != nil || !utf8.ValidString(note) {
		return &parameterError{"Marlpass-Note", "must be percent-encoded UTF-8"}
	}
	if len(note) > command.MaxNoteLength {
		return &parameterError{"Marlpass-Note", "must be at most 512 bytes when decoded"}
	}
	c.Note = note
	return nil
}

// submit runs one write as the operator of ctx. It returns the answer to an
// accepted command or one with an unknown outcome; a refusal is an error.
//
// Only a result that says so is a refusal. Whatever is neither accepted nor
// refused is told as unknown: told as a refusal, it could make an operator state
// a change again that is already in force.
func (h handler) submit(ctx context.Context, c command.Command, headers writeHeaders) (written, error) {
	who := operatorOf(ctx)
	c.Operator, c.Team = who.Name, who.Team
	c.ID = string(headers.command.Or(adminapi.CommandID(uuid.NewString())))
	if err := headers.fill(&c); err != nil {
		return written{}, &commandError{c.ID, err}
	}
	res, err := h.s.run(ctx, c)
	if err == nil && res.Outcome == command.Refused {
		err = &refusedError{res, keyOf(&c)}
	}
	if err != nil {
		return written{}, &commandError{c.ID, err}
	}
	return written{res}, nil
}

// keyOf returns the one object that a command of this API touches.
func keyOf(c *command.Command) config.Key {
	if len(c.Unset) > 0 {
		return c.Unset[0]
	}
	return c.Set[0].Key
}

// written is the answer to a command that was not refused.
type written struct{ res command.Result }

func (w written) isAccepted() bool { return w.res.Outcome == command.Accepted }
func (w written) created() bool    { return w.isAccepted() && w.res.Created }

func (w written) accepted() *adminapi.AcceptedHeaders {
	return &adminapi.AcceptedHeaders{
		ETag:            etag(w.res.Version.Number),
		MarlpassCommand: w.res.Command,
		Response: adminapi.Accepted{
			Command:   w.res.Command,
			Version:   VersionOf(w.res.Version),
			Unchanged: adminapi.OptBool{Value: w.res.Unchanged, Set: w.res.Unchanged},
		},
	}
}

func (w written) createdHeaders() *adminapi.CreatedHeaders {
	h := adminapi.CreatedHeaders(*w.accepted())
	return &h
}

func (w written) unknown() *adminapi.UnknownHeaders {
	return &adminapi.UnknownHeaders{
		MarlpassCommand: w.res.Command,
		Response:        adminapi.Unknown{Command: w.res.Command, Detail: w.res.Detail},
	}
}

// etag writes a version number as an entity tag.
func etag(number uint64) string { return strconv.Quote(strconv.FormatUint(number, 10)) }

func (h handler) PutService(ctx context.Context, req *adminapi.ServiceSpec, p adminapi.PutServiceParams) (adminapi.PutServiceRes, error) {
	o := config.EncodeService(config.Service{
		Name:        string(p.Name),
		Team:        operatorOf(ctx).Team,
		Description: req.Description.Or(""),
	})
	w, err := h.submit(ctx, command.Command{Set: []config.Object{o}},
		writeHeaders{p.MarlpassCommand, p.MarlpassRepeat, p.IfMatch, p.MarlpassNote})
	switch {
	case err != nil:
		return nil, err
	case w.created():
		return w.createdHeaders(), nil
	case w.isAccepted():
		return w.accepted(), nil
	}
	return w.unknown(), nil
}

func (h handler) PutTarget(ctx context.Context, req *adminapi.TargetSpec, p adminapi.PutTargetParams) (adminapi.PutTargetRes, error) {
	target := targetFrom(req)
	target.Name = string(p.Name)
	target.Team = operatorOf(ctx).Team
	w, err := h.submit(ctx, command.Command{Set: []config.Object{config.EncodeTarget(target)}},
		writeHeaders{p.MarlpassCommand, p.MarlpassRepeat, p.IfMatch, p.MarlpassNote})
	switch {
	case err != nil:
		return nil, err
	case w.created():
		return w.createdHeaders(), nil
	case w.isAccepted():
		return w.accepted(), nil
	}
	return w.unknown(), nil
}

func (h handler) WithdrawService(ctx context.Context, p adminapi.WithdrawServiceParams) (adminapi.WithdrawServiceRes, error) {
	w, err := h.submit(ctx, withdrawal(config.KindService, p.Name),
		writeHeaders{p.MarlpassCommand, p.MarlpassRepeat, p.IfMatch, p.MarlpassNote})
	switch {
	case err != nil:
		return nil, err
	case w.isAccepted():
		return w.accepted(), nil
	}
	return w.unknown(), nil
}

func (h handler) WithdrawTarget(ctx context.Context, p adminapi.WithdrawTargetParams) (adminapi.WithdrawTargetRes, error) {
	w, err := h.submit(ctx, withdrawal(config.KindTarget, p.Name),
		writeHeaders{p.MarlpassCommand, p.MarlpassRepeat, p.IfMatch, p.MarlpassNote})
	switch {
	case err != nil:
		return nil, err
	case w.isAccepted():
		return w.accepted(), nil
	}
	return w.unknown(), nil
}

func withdrawal(k config.Kind, name adminapi.Name) command.Command {
	return command.Command{Unset: []config.Key{{Kind: k, Name: string(name)}}}
}

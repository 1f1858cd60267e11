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

// writeParams are the parameters of every write: the operations have the same,
// as types that convert to each other.
type writeParams = adminapi.PutServiceParams

// readHeaders reads the parameters into c.
func readHeaders(p writeParams, c *command.Command) error {
	c.ID = string(p.MarlpassCommand.Or(adminapi.CommandID(uuid.NewString())))
	c.Repeat = p.MarlpassRepeat.Or(false)
	if tag, ok := p.IfMatch.Get(); ok {
		n, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
		if err != nil {
			return &parameterError{"If-Match", "must be a version number in quotes"}
		}
		c.Base = &n
	}
	note, err := url.PathUnescape(p.MarlpassNote.Or(""))
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
func (h handler) submit(ctx context.Context, c command.Command, p writeParams) (written, error) {
	who := operatorOf(ctx)
	c.Operator, c.Team = who.Name, who.Team
	if err := readHeaders(p, &c); err != nil {
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

// putRes is an answer to any operation that states an object.
type putRes interface {
	adminapi.PutServiceRes
	adminapi.PutTargetRes
	adminapi.PutWorkspaceRes
}

// withdrawRes is an answer to any operation that withdraws an object.
type withdrawRes interface {
	adminapi.WithdrawServiceRes
	adminapi.WithdrawTargetRes
	adminapi.WithdrawWorkspaceRes
}

func (h handler) put(ctx context.Context, o config.Object, p writeParams) (putRes, error) {
	w, err := h.submit(ctx, command.Command{Set: []config.Object{o}}, p)
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

func (h handler) withdraw(ctx context.Context, kind config.Kind, p writeParams) (withdrawRes, error) {
	key := config.Key{Kind: kind, Name: string(p.Name)}
	w, err := h.submit(ctx, command.Command{Unset: []config.Key{key}}, p)
	switch {
	case err != nil:
		return nil, err
	case w.isAccepted():
		return w.accepted(), nil
	}
	return w.unknown(), nil
}

func (h handler) PutService(ctx context.Context, req *adminapi.ServiceSpec, p adminapi.PutServiceParams) (adminapi.PutServiceRes, error) {
	service := config.Service{
		Name:        string(p.Name),
		Team:        operatorOf(ctx).Team,
		Description: req.Description.Or(""),
	}
	return h.put(ctx, config.EncodeService(service), p)
}

func (h handler) PutTarget(ctx context.Context, req *adminapi.TargetSpec, p adminapi.PutTargetParams) (adminapi.PutTargetRes, error) {
	target := targetFrom(req)
	target.Name = string(p.Name)
	target.Team = operatorOf(ctx).Team
	return h.put(ctx, config.EncodeTarget(target), writeParams(p))
}

func (h handler) WithdrawService(ctx context.Context, p adminapi.WithdrawServiceParams) (adminapi.WithdrawServiceRes, error) {
	return h.withdraw(ctx, config.KindService, writeParams(p))
}

func (h handler) WithdrawTarget(ctx context.Context, p adminapi.WithdrawTargetParams) (adminapi.WithdrawTargetRes, error) {
	return h.withdraw(ctx, config.KindTarget, writeParams(p))
}

func (h handler) PutWorkspace(ctx context.Context, req *adminapi.WorkspaceSpec, p adminapi.PutWorkspaceParams) (adminapi.PutWorkspaceRes, error) {
	workspace, err := workspaceFrom(req)
	if err != nil {
		return nil, err
	}
	workspace.Name = string(p.Name)
	workspace.Team = operatorOf(ctx).Team
	return h.put(ctx, config.EncodeWorkspace(workspace), writeParams(p))
}

func (h handler) WithdrawWorkspace(ctx context.Context, p adminapi.WithdrawWorkspaceParams) (adminapi.WithdrawWorkspaceRes, error) {
	return h.withdraw(ctx, config.KindWorkspace, writeParams(p))
}

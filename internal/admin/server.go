package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// MaxBody is the size in bytes of the largest body that the API reads.
const MaxBody = 32 << 10

// Defaults of Options.
const (
	DefaultMaxCommands   = 8
	DefaultHandoverSince = 8 * time.Hour // one shift
)

// Options are what a Server is made of.
type Options struct {
	Commander Commander
	Reader    Reader
	Operators *Operators
	Now       func() time.Time
	Log       zerolog.Logger
	// MaxCommands bounds the commands in progress at once; zero means
	// DefaultMaxCommands.
	MaxCommands int
}

// Server serves the admin API. TLS and the listener are the node's.
type Server struct {
	commander Commander
	reader    Reader
	operators *Operators
	now       func() time.Time
	log       zerolog.Logger
	slots     chan struct{} // one element for each command in progress
}

// NewServer returns a server.
func NewServer(o Options) *Server {
	n := o.MaxCommands
	if n == 0 {
		n = DefaultMaxCommands
	}
	return &Server{
		commander: o.Commander,
		reader:    o.Reader,
		operators: o.Operators,
		now:       o.Now,
		log:       o.Log.With().Str("part", "admin").Logger(),
		slots:     make(chan struct{}, n),
	}
}

// Handler returns the HTTP side of the API. Its paths begin with /v1.
func (s *Server) Handler() (http.Handler, error) {
	h, err := adminapi.NewServer(handler{s}, s.operators,
		adminapi.WithPathPrefix("/v1"),
		adminapi.WithErrorHandler(s.undecoded),
		adminapi.WithNotFound(s.noSuchPath))
	if err != nil {
		return nil, err
	}
	return http.MaxBytesHandler(h, MaxBody), nil
}

// submit hands one change to the commander.
func (s *Server) submit(ctx context.Context, c *Change, h writeHeaders) (Outcome, error) {
	c.By = operatorOf(ctx)
	c.Command = string(h.command.Or(adminapi.CommandID(uuid.NewString())))
	out, err := s.submitBounded(ctx, c, h)
	s.logOutcome(c, out, err)
	if err != nil {
		return out, &commandError{command: c.Command, err: err}
	}
	return out, nil
}

func (s *Server) submitBounded(ctx context.Context, c *Change, h writeHeaders) (Outcome, error) {
	if err := h.fill(c); err != nil {
		return Outcome{}, err
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return Outcome{}, errBusy
	}
	out, err := s.commander.Submit(ctx, c)
	if err != nil && !refusal(err) {
		s.log.Error().Err(err).Str("command", c.Command).Msg("admin: command failed")
		return Outcome{Unknown: true, Detail: "the node failed while it ran the command"}, nil
	}
	return out, err
}

func (s *Server) logOutcome(c *Change, out Outcome, err error) {
	e := s.log.Info()
	text := "admin: change accepted"
	switch {
	case err != nil:
		e, text = s.log.Warn().Err(err), "admin: change refused"
	case out.Unknown:
		e, text = s.log.Warn(), "admin: outcome of the change unknown"
	}
	e.Str("command", c.Command).Str("operator", c.By.Name).Str("team", c.By.Team).
		Stringer("object", c.Key).Uint64("version", out.Version.Number).Msg(text)
}

// commandError adds the command's id to the refusal of it.
type commandError struct {
	command string
	err     error
}

func (e *commandError) Error() string { return e.err.Error() }
func (e *commandError) Unwrap() error { return e.err }

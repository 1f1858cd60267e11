package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/command"
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
	Lifter    Lifter
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
	lifter    Lifter
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
		lifter:    o.Lifter,
		operators: o.Operators,
		now:       o.Now,
		log:       o.Log,
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

// run hands a command to the commander, within the bound on commands at once.
func (s *Server) run(ctx context.Context, c command.Command) (command.Result, error) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		return command.Result{}, errBusy
	}
	res := s.commander.Submit(ctx, c)
	res.Command = c.ID
	s.logOutcome(&c, res)
	return res, nil
}

func (s *Server) logOutcome(c *command.Command, res command.Result) {
	e := s.log.Info()
	if res.Outcome != command.Accepted {
		e = s.log.Warn().Str("reason", string(res.Reason)).Str("detail", res.Detail)
	}
	e.Str("command", c.ID).Str("operator", c.Operator).Str("team", c.Team).
		Stringer("object", keyOf(c)).Uint64("version", res.Version.Number).
		Msg("admin: command " + string(res.Outcome))
}

// commandError adds the command's id to what is wrong with it.
type commandError struct {
	command string
	err     error
}

func (e *commandError) Error() string { return e.err.Error() }
func (e *commandError) Unwrap() error { return e.err }

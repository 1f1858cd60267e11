package backend

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/wait"
)

// State is what the server says of itself.
type State string

// States of a server, as the announce API names them.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Draining State = "draining"
)

// Mode is a fault that the server plays.
type Mode string

// The modes of a server.
const (
	ModeGood     Mode = "good"
	ModeFastFail Mode = "fast-fail" // answers 500 at once and looks idle
	ModeSilent   Mode = "silent"    // takes requests and never answers
	ModeSlow     Mode = "slow"      // takes SlowFactor times as long
	ModeStale    Mode = "stale"     // always reports that nothing runs
)

// SlowFactor is by how much ModeSlow slows a server.
const SlowFactor = 10

// Server is one stand-in backend server.
type Server struct {
	set   Settings
	log   zerolog.Logger
	slots *slots
	runs  runs
	// Exit ends the program after a crash; nil stays away for CrashDown and
	// comes back.
	Exit func()

	node       atomic.Pointer[string] // URL of the announce API
	mode       atomic.Pointer[Mode]
	state      atomic.Pointer[State]
	drained    atomic.Int64 // requests begun after the drain was ordered
	drainAt    atomic.Int64 // when the drain was ordered, in Unix nanoseconds
	lastNew    atomic.Int64 // how long after that the last request began
	inFlight   atomic.Int64
	crashes    atomic.Int64
	generation atomic.Int64
	started    atomic.Int64 // of the present incarnation, in Unix milliseconds
	advertised advertised

	mu     sync.Mutex // guards what follows
	server *http.Server
	addr   string
	closed bool
}

// New returns a server that does not listen yet. Settings must pass Check.
func New(set Settings, log zerolog.Logger) *Server {
	s := &Server{set: set, log: log, slots: newSlots(set.Slots, set.Backlog)}
	s.SetNode(set.Node)
	s.SetMode(ModeGood)
	s.setState(Starting)
	return s
}

// SetNode changes the URL of the announce API.
func (s *Server) SetNode(url string) { s.node.Store(&url) }

// SetMode changes the fault that the server plays.
func (s *Server) SetMode(m Mode) { s.mode.Store(&m) }

// State returns the state that the server announces.
func (s *Server) State() State { return *s.state.Load() }

func (s *Server) setState(st State) { s.state.Store(&st) }

// Addr returns the address that the server listens on, once it was started.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Crashes returns how often the server has crashed.
func (s *Server) Crashes() int64 { return s.crashes.Load() }

// AfterDrain returns how many requests began after the drain was ordered, and
// how long after it the last of them.
func (s *Server) AfterDrain() (int64, time.Duration) {
	return s.drained.Load(), time.Duration(s.lastNew.Load())
}

// noteNew counts a request that began during a drain.
func (s *Server) noteNew() {
	at := s.drainAt.Load()
	if at == 0 {
		return
	}
	s.drained.Add(1)
	s.lastNew.Store(time.Now().UnixNano() - at)
}

// Start listens and warms up.
func (s *Server) Start() error { return s.listen(s.set.Listen) }

func (s *Server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.Join(http.ErrServerClosed, l.Close())
	}
	s.addr = l.Addr().String()
	s.started.Store(time.Now().UnixMilli())
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.serveOn(s.server, &costlyListener{Listener: l, cost: s.set.ConnectionCost.Duration})
	s.setState(Starting)
	g := s.generation.Add(1)
	time.AfterFunc(s.set.ColdStart.Duration, func() { s.warm(g) })
	return nil
}

func (s *Server) serveOn(h *http.Server, l net.Listener) {
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.log.Error().Err(err).Msg("backend: stopped listening")
	}
}

// warm ends the cold start, unless the server crashed or drains since.
func (s *Server) warm(generation int64) {
	if s.generation.Load() == generation && s.State() == Starting {
		s.setState(Ready)
		s.log.Info().Msg("backend: ready")
	}
}

// costlyListener spends time on each new connection, one after another.
type costlyListener struct {
	net.Listener
	cost time.Duration
}

// Accept takes the next connection.
func (l *costlyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil && l.cost > 0 {
		time.Sleep(l.cost)
	}
	return c, err
}

// Crash drops the listener and every connection at once, as a process that
// dies does.
func (s *Server) Crash() {
	s.mu.Lock()
	h, addr := s.server, s.addr
	s.server = nil
	s.mu.Unlock()
	if h == nil {
		return // it is down already
	}
	s.crashes.Add(1)
	s.generation.Add(1)
	s.log.Warn().Msg("backend: crashed")
	if s.Exit != nil {
		s.Exit()
	}
	_ = h.Close()
	time.AfterFunc(s.set.CrashDown.Duration, func() { s.comeBack(addr) })
}

func (s *Server) comeBack(addr string) {
	if err := s.listen(addr); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.log.Error().Err(err).Msg("backend: did not come back")
	}
}

// Down reports whether the server has crashed and not come back.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server == nil
}

// Drain announces the end, waits for new requests to stay away, and then for
// those that run. The error says that some were cut off at DrainLimit.
func (s *Server) Drain(ctx context.Context) error {
	s.drainAt.Store(time.Now().UnixNano())
	s.setState(Draining)
	s.log.Info().Msg("backend: draining")
	_ = wait.For(ctx, s.set.DrainWait.Duration)
	ctx, cancel := context.WithTimeout(ctx, s.set.DrainLimit.Duration)
	defer cancel()
	h := s.end()
	if h == nil {
		return nil
	}
	if err := h.Shutdown(ctx); err != nil {
		s.log.Warn().Int64("in_flight", s.inFlight.Load()).Msg("backend: the drain limit was hit")
		return errors.Join(err, h.Close())
	}
	return nil
}

// Close ends the server at once.
func (s *Server) Close() {
	if h := s.end(); h != nil {
		_ = h.Close()
	}
}

// end makes sure that the server does not come back, and returns what listens.
func (s *Server) end() *http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	h := s.server
	s.server = nil
	return h
}

package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/telemetry"
	"github.com/marlpass/marlpass/internal/trust"
)

// Membership answers membership messages.
type Membership interface {
	Request(from string, m *peerpb.Membership) *peerpb.Membership
}

// Distributor hears of versions and serves pulls.
type Distributor interface {
	Heard(*peerpb.Envelope)
	ServePull(*peerpb.PullRequest) (*peerpb.PullResponse, error)
}

// Submitter carries out an operator's command for another node, the one named.
type Submitter interface {
	Submit(ctx context.Context, from string, command []byte) ([]byte, error)
}

// Alerts takes notices that cannot wait for the next membership message.
type Alerts interface {
	Alert(from string, notices []*peerpb.Notice)
}

// Reporter tells what this node counted of its calls.
type Reporter interface {
	Report() (*peerpb.Packed, error)
}

// Rollouts hears what backend servers may take while a service's calls move to another
// version, and tells what they did.
type Rollouts interface {
	Instruct(*peerpb.RolloutRequest) []*peerpb.RolloutServer
}

// Collector sums up what nodes take of the workspaces' quotas, and answers which parts of
// the calls may pass.
type Collector interface {
	Collect(*peerpb.UsageRequest) []*peerpb.WorkspacePart
}

// ServerConfig is what a Server works with.
type ServerConfig struct {
	Mesh, VM    string
	TLS         *tls.Config // nil for plain TCP
	Limits      Limits
	Metrics     *Metrics
	Log         zerolog.Logger
	Sender      func() SenderInfo
	Membership  Membership
	Distributor Distributor
	Submitter   Submitter
	Alerts      Alerts
	Reporter    Reporter
	Rollouts    Rollouts
	Collector   Collector
}

// Server answers other nodes.
type Server struct {
	cfg   ServerConfig
	http  *http.Server
	conns *telemetry.Conns
}

// Conns returns how many connections of other nodes are open.
func (s *Server) Conns() int64 { return s.conns.Open() }

// NewServer returns a server; Serve starts it.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, conns: telemetry.NewConns(cfg.Log, "control")}
	twirpServer := peerpb.NewPeerServer(&service{cfg}, twirp.WithServerPathPrefix(""))
	s.http = &http.Server{
		Handler:           s.guard(twirpServer),
		ReadHeaderTimeout: cfg.Limits.ExchangeTimeout,
		ReadTimeout:       cfg.Limits.ExchangeTimeout,
		WriteTimeout:      2 * cfg.Limits.ExchangeTimeout,
		// Longer than the client keeps it, so that the client closes first
		// and never writes into a connection that is being closed.
		IdleTimeout:    cfg.Limits.IdleTimeout + time.Minute,
		MaxHeaderBytes: 4 << 10,
		ErrorLog:       log.New(debugWriter{cfg.Log}, "", 0),
		ConnState:      s.conns.Note,
	}
	return s
}

// Serve accepts connections until Shutdown. It returns nil after one.
func (s *Server) Serve(l net.Listener) error {
	l = &countedListener{l, s.cfg.Metrics}
	if s.cfg.TLS != nil {
		l = tls.NewListener(l, s.cfg.TLS)
	}
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("peer: serve: %w", err)
	}
	return nil
}

// Shutdown stops accepting and waits for the answers in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close stops at once, and cuts off the answers in flight.
func (s *Server) Close() error { return s.http.Close() }

// fromKey is the context key of the VM that the connection's certificate names.
type fromKey struct{}

// guard bounds the body and notes who speaks.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, s.cfg.Limits.MaxRequestBytes)
		w.Header()["Date"] = nil // nobody reads it
		if s.cfg.TLS != nil {
			id, err := trust.PeerOf(r.TLS)
			if err != nil {
				http.Error(w, err.Error(), http.StatusForbidden)
				return
			}
			r = r.WithContext(context.WithValue(r.Context(), fromKey{}, id.VM))
		}
		next.ServeHTTP(w, r)
	})
}

// service implements the twirp service.
type service struct{ cfg ServerConfig }

// admit checks that a message is of this mesh and from whom it says.
func (s *service) admit(ctx context.Context, k kind, m fromPeer) error {
	km := s.cfg.Metrics.kinds[k]
	km.received.Inc()
	km.bytesIn.Add(proto.Size(m))
	if m.GetMesh() != s.cfg.Mesh {
		s.cfg.Metrics.Refused(&trust.RefusedError{Reason: trust.ReasonOtherMesh})
		return twirp.PermissionDenied.Error("this is mesh " + s.cfg.Mesh)
	}
	if vm, ok := ctx.Value(fromKey{}).(string); ok && vm != m.GetFrom() {
		s.cfg.Metrics.dropped.Inc()
		return twirp.PermissionDenied.Error("the certificate is for VM " + vm)
	}
	return nil
}

// fromPeer is any request.
type fromPeer interface {
	proto.Message
	GetMesh() string
	GetFrom() string
}

// answered counts an answer, and refuses one that the asking node would not take.
//
// It guards against a version over the bound. The answer is encoded whole before its first
// byte leaves, and the asking node drops it by its announced length, and asks again. On a
// small VM each of these questions would take the memory of two such answers and a good part
// of a second of its core. The size is known before anything is encoded.
func (s *service) answered(k kind, m proto.Message) error {
	size := proto.Size(m)
	if int64(size) > s.cfg.Limits.MaxResponseBytes {
		s.cfg.Metrics.kinds[k].errors.Inc()
		s.cfg.Log.Error().Str("kind", string(k)).Int("bytes", size).Int64("bound", s.cfg.Limits.MaxResponseBytes).
			Msg("peer: refuse to send an answer over the bound")
		return twirp.ResourceExhausted.Error(errTooLarge.Error())
	}
	s.cfg.Metrics.kinds[k].bytesOut.Add(size)
	return nil
}

// Exchange implements peerpb.Peer.
func (s *service) Exchange(ctx context.Context, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	k := kindExchange
	if e.Membership == nil {
		k = kindTell
	}
	if err := s.admit(ctx, k, e); err != nil {
		return nil, err
	}
	s.cfg.Distributor.Heard(e)
	var m *peerpb.Membership
	if e.Membership != nil {
		m = s.cfg.Membership.Request(e.From, e.Membership)
	}
	out := seal(s.cfg.Mesh, s.cfg.VM, s.cfg.Sender())
	out.Membership = m
	if err := s.answered(k, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Pull implements peerpb.Peer.
func (s *service) Pull(ctx context.Context, q *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	return serve(ctx, s, kindPull, q, func() (*peerpb.PullResponse, error) {
		a, err := s.cfg.Distributor.ServePull(q)
		if err != nil {
			return nil, twirp.InvalidArgument.Error(err.Error())
		}
		a.From = s.cfg.VM
		return a, nil
	})
}

// Submit implements peerpb.Peer.
func (s *service) Submit(ctx context.Context, q *peerpb.SubmitRequest) (*peerpb.SubmitResponse, error) {
	return serve(ctx, s, kindSubmit, q, func() (*peerpb.SubmitResponse, error) {
		result, err := s.cfg.Submitter.Submit(ctx, q.From, q.Command)
		if err != nil {
			return nil, twirp.Unavailable.Error(err.Error())
		}
		return &peerpb.SubmitResponse{Result: result}, nil
	})
}

// Alert implements peerpb.Peer.
func (s *service) Alert(ctx context.Context, q *peerpb.AlertRequest) (*peerpb.AlertResponse, error) {
	return serve(ctx, s, kindAlert, q, func() (*peerpb.AlertResponse, error) {
		s.cfg.Alerts.Alert(q.From, q.Notices)
		return &peerpb.AlertResponse{}, nil
	})
}

// Report implements peerpb.Peer.
func (s *service) Report(ctx context.Context, q *peerpb.ReportRequest) (*peerpb.ReportResponse, error) {
	return serve(ctx, s, kindReport, q, func() (*peerpb.ReportResponse, error) {
		report, err := s.cfg.Reporter.Report()
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		return &peerpb.ReportResponse{From: s.cfg.VM, Report: report}, nil
	})
}

// Rollout implements peerpb.Peer.
func (s *service) Rollout(ctx context.Context, q *peerpb.RolloutRequest) (*peerpb.RolloutResponse, error) {
	return serve(ctx, s, kindRollout, q, func() (*peerpb.RolloutResponse, error) {
		return &peerpb.RolloutResponse{From: s.cfg.VM, Servers: s.cfg.Rollouts.Instruct(q)}, nil
	})
}

// Usage implements peerpb.Peer.
func (s *service) Usage(ctx context.Context, q *peerpb.UsageRequest) (*peerpb.UsageResponse, error) {
	return serve(ctx, s, kindUsage, q, func() (*peerpb.UsageResponse, error) {
		return &peerpb.UsageResponse{From: s.cfg.VM, Parts: s.cfg.Collector.Collect(q)}, nil
	})
}

// serve answers a request that may be admitted, and counts both.
func serve[Q fromPeer, A proto.Message](ctx context.Context, s *service, k kind, q Q, answer func() (A, error)) (A, error) {
	var none A
	if err := s.admit(ctx, k, q); err != nil {
		return none, err
	}
	a, err := answer()
	if err != nil {
		s.cfg.Metrics.kinds[k].errors.Inc()
		return none, err
	}
	if err := s.answered(k, a); err != nil {
		return none, err
	}
	return a, nil
}

// debugWriter logs what net/http has to say, such as failed handshakes, which
// are counted by reason already.
type debugWriter struct{ log zerolog.Logger }

func (w debugWriter) Write(p []byte) (int, error) {
	w.log.Debug().Msg("peer: " + strings.TrimSpace(string(p)))
	return len(p), nil
}

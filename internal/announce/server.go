package announce

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/marlpass/marlpass/internal/gen/announceapi"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/problem"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 4 << 10

// sweepsPerTTL is how often per TTL Run checks for expired leases.
const sweepsPerTTL = 8

// Server serves the announce API over a Registry.
type Server struct {
	registry *Registry
	now      func() time.Time
	onChange func([]Change)
}

// NewServer returns a server over r. It calls onChange after every change that has to be
// published to the mesh, from the goroutine that made the change and with no lock held. Calls
// may arrive out of order, so onChange must take the state from Registry.Load, which already
// includes the change, and not from its argument.
func NewServer(r *Registry, now func() time.Time, onChange func([]Change)) *Server {
	return &Server{registry: r, now: now, onChange: onChange}
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() (http.Handler, error) {
	h, err := announceapi.NewServer(handler{s}, announceapi.WithPathPrefix("/v1"),
		announceapi.WithErrorHandler(s.handleDecodeError))
	if err != nil {
		return nil, err
	}
	return http.MaxBytesHandler(h, MaxBodyBytes), nil
}

// Run removes expired backend servers until ctx is done.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(s.registry.Limits().TTL / sweepsPerTTL)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.notify(s.registry.Expire(s.now()))
		}
	}
}

// notify reports the changes that have to be published to the mesh.
func (s *Server) notify(all []Change) {
	if visible := RecordChanges(all); len(visible) > 0 {
		s.onChange(visible)
	}
}

// Listen opens the listener of the API. It returns ErrNotLoopback for an address that is not on
// loopback, since the API does not authenticate its clients.
func Listen(address string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Unmap().IsLoopback() {
		return nil, ErrNotLoopback
	}
	return net.Listen("tcp", address)
}

// handler adapts a Server to the generated interface.
type handler struct{ s *Server }

func (h handler) PutBackend(_ context.Context, req *announceapi.Announcement, p announceapi.PutBackendParams) (*announceapi.Lease, error) {
	address, err := ParseAddress(req.Address)
	if err != nil {
		return nil, err
	}
	changes, err := h.s.registry.Put(h.s.now(), Announcement{
		Instance: string(p.Instance),
		Service:  string(req.Service),
		Address:  address,
		Slots:    req.Slots,
		State:    stateByName[req.State],
		Version:  req.Version.Or(""),
		Load:     req.Load.Or(0),
		Started:  req.StartedMs.Or(0),
	})
	if err != nil {
		return nil, err
	}
	h.s.notify(changes)
	limits := h.s.registry.Limits()
	return &announceapi.Lease{
		TTLMs:        limits.TTL.Milliseconds(),
		RenewEveryMs: limits.RenewEvery().Milliseconds(),
	}, nil
}

func (h handler) WithdrawBackend(_ context.Context, p announceapi.WithdrawBackendParams) error {
	var address netip.AddrPort
	if given, ok := p.Address.Get(); ok {
		var err error
		if address, err = ParseAddress(given); err != nil {
			return err
		}
	}
	h.s.notify(h.s.registry.Withdraw(Withdrawal{Instance: string(p.Instance), Address: address}))
	return nil
}

func (h handler) ListBackends(context.Context) (*announceapi.BackendList, error) {
	now := h.s.now()
	out := &announceapi.BackendList{Backends: []announceapi.Backend{}}
	for _, b := range h.s.registry.Load() {
		v := announceapi.Backend{
			Instance:    b.Instance,
			Service:     b.Service,
			Address:     b.Address.String(),
			Slots:       b.Slots,
			State:       stateName(b.State),
			Load:        b.Load,
			ExpiresInMs: max(0, b.Expires.Sub(now).Milliseconds()),
		}
		if b.Version != "" {
			v.Version.SetTo(b.Version)
		}
		if !b.ReadySince.IsZero() {
			v.ReadySince.SetTo(b.ReadySince)
		}
		out.Backends = append(out.Backends, v)
	}
	return out, nil
}

var stateByName = map[announceapi.State]membership.BackendState{
	announceapi.StateStarting: membership.BackendStarting,
	announceapi.StateReady:    membership.BackendReady,
	announceapi.StateDraining: membership.BackendDraining,
}

func stateName(s membership.BackendState) announceapi.State {
	for name, state := range stateByName {
		if state == s {
			return name
		}
	}
	return announceapi.StateStarting
}

// NewError converts an error of this package to a problem document.
func (h handler) NewError(_ context.Context, err error) *announceapi.ProblemStatusCode {
	var field *FieldError
	switch {
	case errors.As(err, &field):
		return problemDocument(http.StatusUnprocessableEntity, field.Field, field.Reason)
	case errors.Is(err, ErrTooMany):
		return problemDocument(http.StatusTooManyRequests, "", "too many backend servers on this VM")
	}
	if f, ok := problem.FromDecoder(err); ok {
		return problemDocument(f.Status, f.Field, f.Detail)
	}
	return problemDocument(http.StatusInternalServerError, "", "internal error")
}

func problemDocument(status int, field, detail string) *announceapi.ProblemStatusCode {
	p := announceapi.Problem{Type: "about:blank", Title: http.StatusText(status), Status: status}
	p.Detail.SetTo(detail)
	if field != "" {
		p.Field.SetTo(field)
	}
	return &announceapi.ProblemStatusCode{StatusCode: status, Response: p}
}

// handleDecodeError answers a request that could not be decoded.
func (s *Server) handleDecodeError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	p := handler{s}.NewError(ctx, err)
	body, err := p.Response.MarshalJSON()
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", problem.ContentType)
	w.WriteHeader(p.StatusCode)
	_, _ = w.Write(body)
}

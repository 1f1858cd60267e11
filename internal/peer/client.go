package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/message"
	"github.com/marlpass/marlpass/internal/trust"
)

// Errors of Client, which wrap their cause.
var (
	// ErrUnreachable means that no complete response arrived in time.
	ErrUnreachable = errors.New("peer: no response")
	// ErrRefused means that the peer returned an error.
	ErrRefused = errors.New("peer: refused")
	// ErrIdentityMismatch means that a response names another VM or mesh than
	// expected, or than the certificate of its connection.
	ErrIdentityMismatch = errors.New("peer: the response names another mesh or node than expected")
)

// SenderInfo is the state of the sending node that every envelope carries.
type SenderInfo struct {
	Incarnation uint64
	Version     config.Version
	Behind      uint64 // versions that the one in force lies behind Version
	// Confirmed is the last confirmation from the source of versions, or nil.
	Confirmed *peerpb.Confirmation
}

// Limits holds the bounds of the client and the server.
type Limits struct {
	// DialTimeout bounds a new connection, and ExchangeTimeout a whole request
	// with its response.
	DialTimeout, ExchangeTimeout time.Duration
	// MaxIdleConns and IdleTimeout bound the idle connections of a client.
	// Random probing returns to the same peer after as many seconds as its
	// data centre has nodes, and a new TLS connection costs about as much as
	// ten messages, so both are large.
	MaxIdleConns int
	IdleTimeout  time.Duration
	// MaxRequestBytes bounds a request, and MaxResponseBytes a response; the
	// largest responses are those to pulls.
	MaxRequestBytes, MaxResponseBytes int64
}

// DefaultLimits suit a data centre of a few hundred nodes.
func DefaultLimits() Limits {
	return Limits{
		DialTimeout: time.Second, ExchangeTimeout: 5 * time.Second,
		MaxIdleConns: 512, IdleTimeout: 30 * time.Minute,
		MaxRequestBytes: 256 << 10, MaxResponseBytes: 16 << 20,
	}
}

// maxClients bounds the cache of twirp clients, which has one per address.
const maxClients = 2048

// ClientConfig holds the settings and dependencies of a Client.
type ClientConfig struct {
	Mesh, VM string
	TLS      *tls.Config // nil for plain TCP
	Limits   Limits
	Metrics  *Metrics
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Sender is called for each envelope.
	Sender func() SenderInfo
	// OnEnvelope is called with the envelope of each response.
	OnEnvelope func(*peerpb.Envelope)
}

// Client sends messages to other nodes.
type Client struct {
	cfg     ClientConfig
	http    *http.Client
	scheme  string
	mu      sync.Mutex
	clients *lru.Cache[string, peerpb.Peer]
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) (*Client, error) {
	clients, err := lru.New[string, peerpb.Peer](maxClients)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	c := &Client{cfg: cfg, scheme: "http://", clients: clients}
	if cfg.TLS != nil {
		c.scheme = "https://"
	}
	c.http = &http.Client{Transport: &verifyingTransport{next: message.NewTransport(c.transport()), limits: cfg.Limits}}
	return c, nil
}

// transport keeps one idle connection to each peer.
//
// When a middlebox loses the state of a connection, the connection stays silent
// while new ones work. An exchange over it times out. HTTP/1.1 closes the
// connection of a cancelled exchange, and as no other idle one is kept to that
// peer, the next exchange dials a new one.
func (c *Client) transport() *http.Transport {
	dial := c.cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: keepAlive}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, c.cfg.Limits.DialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			c.cfg.Metrics.opened.Inc()
			return &countedConn{conn, c.cfg.Metrics}, nil
		},
		TLSClientConfig:        c.cfg.TLS,
		TLSHandshakeTimeout:    c.cfg.Limits.DialTimeout,
		MaxIdleConns:           c.cfg.Limits.MaxIdleConns,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        c.cfg.Limits.IdleTimeout,
		ResponseHeaderTimeout:  c.cfg.Limits.ExchangeTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 4 << 10,
		ReadBufferSize:         2 << 10,
		WriteBufferSize:        2 << 10,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// minimalHeaders removes unused headers that twirp and net/http add: on
// messages of a few hundred bytes they are a third of the cost.
var minimalHeaders = &twirp.ClientHooks{
	RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
		r.Header.Del("Accept")
		r.Header.Del("Twirp-Version")
		r.Header["User-Agent"] = []string{""}
		return ctx, nil
	},
}

// to returns the twirp client for an address.
func (c *Client) to(addr string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.clients.Get(addr); ok {
		return p
	}
	p := peerpb.NewPeerProtobufClient(c.scheme+addr, c.http,
		twirp.WithClientPathPrefix(""), twirp.WithClientHooks(minimalHeaders))
	c.clients.Add(addr, p)
	return p
}

// Exchange sends a membership message and returns the response.
func (c *Client) Exchange(ctx context.Context, addr string, m *peerpb.Membership) (*peerpb.Membership, error) {
	e := c.envelope()
	e.Membership = m
	response, err := c.exchange(ctx, kindExchange, addr, e)
	if err != nil {
		return nil, err
	}
	return response.Membership, nil
}

// Push sends this node's version, with the changes that led to it if given.
func (c *Client) Push(ctx context.Context, addr string, changes *peerpb.Packed) error {
	e := c.envelope()
	e.Changes = changes
	_, err := c.exchange(ctx, kindPush, addr, e)
	return err
}

func (c *Client) envelope() *peerpb.Envelope {
	return newEnvelope(c.cfg.Mesh, c.cfg.VM, c.cfg.Sender())
}

func newEnvelope(mesh, vm string, s SenderInfo) *peerpb.Envelope {
	e := &peerpb.Envelope{
		Mesh: mesh, From: vm, Incarnation: s.Incarnation,
		Version: s.Version.Number, Behind: s.Behind, Confirmed: s.Confirmed,
	}
	if s.Version.Number > 0 {
		e.Hash = s.Version.Hash[:]
	}
	return e
}

func (c *Client) exchange(ctx context.Context, k kind, addr string, e *peerpb.Envelope) (*peerpb.Envelope, error) {
	response, peer, err := send(ctx, c, k, e, c.to(addr).Exchange)
	if err != nil {
		return nil, err
	}
	if response.Mesh != c.cfg.Mesh || (peer != "" && response.From != peer) {
		c.cfg.Metrics.identityMismatches.Inc()
		return nil, ErrIdentityMismatch
	}
	c.cfg.OnEnvelope(response)
	return response, nil
}

// Pull requests the changes after the version in req from the VM named to. It
// fails with ErrIdentityMismatch if another VM answers: a VM that replaces
// another one may have its address.
func (c *Client) Pull(ctx context.Context, to, addr string, req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	req.Mesh, req.From = c.cfg.Mesh, c.cfg.VM
	response, peer, err := send(ctx, c, kindPull, req, c.to(addr).Pull)
	if err != nil {
		return nil, err
	}
	if err := c.verifySender(to, response.From, peer); err != nil {
		return nil, err
	}
	return response, nil
}

// Submit has a peer execute an operator's command, and returns the result.
func (c *Client) Submit(ctx context.Context, addr string, command []byte) ([]byte, error) {
	req := &peerpb.SubmitRequest{Mesh: c.cfg.Mesh, From: c.cfg.VM, Command: command}
	response, _, err := send(ctx, c, kindSubmit, req, c.to(addr).Submit)
	return response.GetResult(), err
}

// Alert sends notices to a peer without waiting for the next membership message.
func (c *Client) Alert(ctx context.Context, addr string, notices []*peerpb.Notice) error {
	req := &peerpb.AlertRequest{Mesh: c.cfg.Mesh, From: c.cfg.VM, Notices: notices}
	_, _, err := send(ctx, c, kindAlert, req, c.to(addr).Alert)
	return err
}

// Report fetches the call counts of the VM named to.
func (c *Client) Report(ctx context.Context, to, addr string) (*peerpb.Packed, error) {
	req := &peerpb.ReportRequest{Mesh: c.cfg.Mesh, From: c.cfg.VM}
	response, peer, err := send(ctx, c, kindReport, req, c.to(addr).Report)
	if err != nil {
		return nil, err
	}
	if err := c.verifySender(to, response.From, peer); err != nil {
		return nil, err
	}
	return response.Report, nil
}

// Rollout sends the VM named to which calls its backend servers may take, and returns what they
// have taken.
func (c *Client) Rollout(ctx context.Context, to, addr string, req *peerpb.RolloutRequest) ([]*peerpb.RolloutServer, error) {
	req.Mesh, req.From = c.cfg.Mesh, c.cfg.VM
	response, peer, err := send(ctx, c, kindRollout, req, c.to(addr).Rollout)
	if err != nil {
		return nil, err
	}
	if err := c.verifySender(to, response.From, peer); err != nil {
		return nil, err
	}
	return response.Servers, nil
}

// Usage reports the usage of the workspaces' quotas to the VM named to, and returns the admission
// ratios.
func (c *Client) Usage(ctx context.Context, to, addr string, req *peerpb.UsageRequest) ([]*peerpb.WorkspacePart, error) {
	req.Mesh, req.From = c.cfg.Mesh, c.cfg.VM
	response, peer, err := send(ctx, c, kindUsage, req, c.to(addr).Usage)
	if err != nil {
		return nil, err
	}
	if err := c.verifySender(to, response.From, peer); err != nil {
		return nil, err
	}
	return response.Parts, nil
}

// verifySender checks that a response comes from the VM that the request was for. Certified is the
// VM that the connection's certificate names, or "" without TLS.
func (c *Client) verifySender(requested, from, certified string) error {
	if from == requested && (certified == "" || certified == requested) {
		return nil
	}
	c.cfg.Metrics.identityMismatches.Inc()
	return ErrIdentityMismatch
}

// send makes one exchange with a timeout and counts it. It returns the VM that
// the connection's certificate names, or "" without TLS.
func send[Q, A proto.Message](ctx context.Context, c *Client, k kind, q Q, call func(context.Context, Q) (A, error)) (A, string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Limits.ExchangeTimeout)
	defer cancel()
	var vm string
	a, err := call(context.WithValue(ctx, certifiedVMKey{}, &vm), q)
	m := c.cfg.Metrics.kinds[k]
	m.sent.Inc()
	m.bytesOut.Add(proto.Size(q))
	if err != nil {
		m.errors.Inc()
		return a, vm, wrapTwirpError(err)
	}
	m.bytesIn.Add(proto.Size(a))
	return a, vm, nil
}

// wrapTwirpError wraps an error of twirp in one of this package.
func wrapTwirpError(err error) error {
	var te twirp.Error
	if errors.As(err, &te) && te.Code() != twirp.Internal {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, err)
}

// certifiedVMKey is the context key of the pointer that verifyingTransport sets
// to the peer's VM.
type certifiedVMKey struct{}

// errTooLarge means that a response was over MaxResponseBytes.
var errTooLarge = errors.New("peer: the answer is too large")

// verifyingTransport bounds the responses of the transport below it and
// reports the VM that their certificates name.
type verifyingTransport struct {
	next   http.RoundTripper
	limits Limits
}

func (c *verifyingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if vm, ok := r.Context().Value(certifiedVMKey{}).(*string); ok && resp.TLS != nil {
		id, err := trust.PeerOf(resp.TLS)
		if err != nil {
			_ = resp.Body.Close()
			return nil, err
		}
		*vm = id.VM
	}
	if resp.ContentLength > c.limits.MaxResponseBytes {
		_ = resp.Body.Close()
		return nil, errTooLarge
	}
	resp.Body = &boundedBody{resp.Body, c.limits.MaxResponseBytes}
	return resp, nil
}

func (c *verifyingTransport) CloseIdleConnections() {
	if t, ok := c.next.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// boundedBody fails a read beyond the bound instead of reporting the end of
// the body.
type boundedBody struct {
	io.ReadCloser
	left int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}

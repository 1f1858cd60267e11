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
	"github.com/marlpass/marlpass/internal/trust"
)

// Errors of this package. Client wraps what went wrong below.
var (
	// ErrUnreachable means that no whole answer came within the bound.
	ErrUnreachable = errors.New("peer: no answer")
	// ErrRefused means that the peer answered with an error.
	ErrRefused = errors.New("peer: refused")
	// ErrIdentityMismatch means that an answer names another VM or mesh than its
	// connection does.
	ErrIdentityMismatch = errors.New("peer: the answer does not come from whom it says")
)

// SenderInfo is what every message says of the node that sends it.
type SenderInfo struct {
	Incarnation uint64
	Version     config.Version
	Behind      uint64
	// Confirmed tells when the source of versions was last heard, or nil.
	Confirmed *peerpb.Confirmation
}

// Limits bound the client and the server.
type Limits struct {
	// DialTimeout and ExchangeTimeout bound a new connection, and a whole exchange.
	DialTimeout, ExchangeTimeout time.Duration
	// MaxIdleConns is how many kept connections a client holds, and IdleTimeout for
	// how long. Random probing comes back to the same peer after as many
	// seconds as its data centre has nodes, and a new TLS connection costs
	// about as much as ten messages, so both are large.
	MaxIdleConns int
	IdleTimeout  time.Duration
	// MaxRequestBytes bounds a message, and MaxResponseBytes an answer to a pull.
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

// maxClients bounds the twirp clients kept, one for each address.
const maxClients = 2048

// ClientConfig is what a Client works with.
type ClientConfig struct {
	Mesh, VM string
	TLS      *tls.Config // nil for plain TCP
	Limits   Limits
	Metrics  *Metrics
	// Dial opens connections, by TCP if nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Sender is asked for each message.
	Sender func() SenderInfo
	// OnEnvelope is told of what each answer says of its sender.
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
	c.http = &http.Client{Transport: &checked{next: c.transport(), limits: cfg.Limits}}
	return c, nil
}

// transport keeps one idle connection to each peer.
//
// A connection that something between the two ends has lost track of goes
// silent for good while new ones work. It shows as an exchange that misses its
// bound. HTTP/1.1 closes the connection of a cancelled exchange, and as no
// other idle one is kept to that peer, the next exchange dials a fresh one.
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

// slim removes the headers that twirp and net/http would add and that nobody
// reads: on messages of a few hundred bytes they are a third of the cost.
var slim = &twirp.ClientHooks{
	RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
		r.Header.Del("Accept")
		r.Header.Del("Twirp-Version")
		r.Header["User-Agent"] = []string{""}
		return ctx, nil
	},
}

func (c *Client) to(addr string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.clients.Get(addr); ok {
		return p
	}
	p := peerpb.NewPeerProtobufClient(c.scheme+addr, c.http,
		twirp.WithClientPathPrefix(""), twirp.WithClientHooks(slim))
	c.clients.Add(addr, p)
	return p
}

// Exchange carries a membership message and its answer.
func (c *Client) Exchange(ctx context.Context, addr string, m *peerpb.Membership) (*peerpb.Membership, error) {
	e := c.envelope()
	e.Membership = m
	answer, err := c.exchange(ctx, kindExchange, addr, e)
	if err != nil {
		return nil, err
	}
	return answer.Membership, nil
}

// Push tells this node's version, with the changes that led to it if given.
func (c *Client) Push(ctx context.Context, addr string, changes *peerpb.Packed) error {
	e := c.envelope()
	e.Changes = changes
	_, err := c.exchange(ctx, kindTell, addr, e)
	return err
}

func (c *Client) envelope() *peerpb.Envelope { return seal(c.cfg.Mesh, c.cfg.VM, c.cfg.Sender()) }

func seal(mesh, vm string, s SenderInfo) *peerpb.Envelope {
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
	answer, peer, err := send(ctx, c, k, e, c.to(addr).Exchange)
	if err != nil {
		return nil, err
	}
	if answer.Mesh != c.cfg.Mesh || (peer != "" && answer.From != peer) {
		c.cfg.Metrics.dropped.Inc()
		return nil, ErrIdentityMismatch
	}
	c.cfg.OnEnvelope(answer)
	return answer, nil
}

// Pull asks the VM to for what follows the version in req. An address is used
// again by the VM that replaces another; one VM must not answer for two.
func (c *Client) Pull(ctx context.Context, to, addr string, req *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	req.Mesh, req.From = c.cfg.Mesh, c.cfg.VM
	answer, peer, err := send(ctx, c, kindPull, req, c.to(addr).Pull)
	if err != nil {
		return nil, err
	}
	if err := c.comesFrom(to, answer.From, peer); err != nil {
		return nil, err
	}
	return answer, nil
}

// Submit has a peer carry out an operator's command.
func (c *Client) Submit(ctx context.Context, addr string, command []byte) ([]byte, error) {
	req := &peerpb.SubmitRequest{Mesh: c.cfg.Mesh, From: c.cfg.VM, Command: command}
	answer, _, err := send(ctx, c, kindSubmit, req, c.to(addr).Submit)
	return answer.GetResult(), err
}

// Alert tells a peer of notices at once.
func (c *Client) Alert(ctx context.Context, addr string, notices []*peerpb.Notice) error {
	req := &peerpb.AlertRequest{Mesh: c.cfg.Mesh, From: c.cfg.VM, Notices: notices}
	_, _, err := send(ctx, c, kindAlert, req, c.to(addr).Alert)
	return err
}

// Report asks the VM to what it counted of its calls.
func (c *Client) Report(ctx context.Context, to, addr string) (*peerpb.Packed, error) {
	req := &peerpb.ReportRequest{Mesh: c.cfg.Mesh, From: c.cfg.VM}
	answer, peer, err := send(ctx, c, kindReport, req, c.to(addr).Report)
	if err != nil {
		return nil, err
	}
	if err := c.comesFrom(to, answer.From, peer); err != nil {
		return nil, err
	}
	return answer.Report, nil
}

// Rollout tells the VM to what its backend servers may take, and returns what they did.
func (c *Client) Rollout(ctx context.Context, to, addr string, req *peerpb.RolloutRequest) ([]*peerpb.RolloutServer, error) {
	req.Mesh, req.From = c.cfg.Mesh, c.cfg.VM
	answer, peer, err := send(ctx, c, kindRollout, req, c.to(addr).Rollout)
	if err != nil {
		return nil, err
	}
	if err := c.comesFrom(to, answer.From, peer); err != nil {
		return nil, err
	}
	return answer.Servers, nil
}

// Usage tells the VM to what is taken of the workspaces' quotas, and returns which parts of the
// calls may pass.
func (c *Client) Usage(ctx context.Context, to, addr string, req *peerpb.UsageRequest) ([]*peerpb.WorkspacePart, error) {
	req.Mesh, req.From = c.cfg.Mesh, c.cfg.VM
	answer, peer, err := send(ctx, c, kindUsage, req, c.to(addr).Usage)
	if err != nil {
		return nil, err
	}
	if err := c.comesFrom(to, answer.From, peer); err != nil {
		return nil, err
	}
	return answer.Parts, nil
}

// comesFrom checks that an answer comes from the VM that was asked. Certified is the VM that the
// connection's certificate names, or "".
func (c *Client) comesFrom(asked, from, certified string) error {
	if from == asked && (certified == "" || certified == asked) {
		return nil
	}
	c.cfg.Metrics.dropped.Inc()
	return ErrIdentityMismatch
}

// send makes one exchange, bounds it and counts it. It returns the VM that the
// connection's certificate names, or "" without TLS.
func send[Q, A proto.Message](ctx context.Context, c *Client, k kind, q Q, call func(context.Context, Q) (A, error)) (A, string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Limits.ExchangeTimeout)
	defer cancel()
	var vm string
	a, err := call(context.WithValue(ctx, peerKey{}, &vm), q)
	m := c.cfg.Metrics.kinds[k]
	m.sent.Inc()
	m.bytesOut.Add(proto.Size(q))
	if err != nil {
		m.errors.Inc()
		return a, vm, fromTwirp(err)
	}
	m.bytesIn.Add(proto.Size(a))
	return a, vm, nil
}

// fromTwirp turns an error of the library into one of this package.
func fromTwirp(err error) error {
	var te twirp.Error
	if errors.As(err, &te) && te.Code() != twirp.Internal {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return fmt.Errorf("%w: %w", ErrUnreachable, err)
}

// peerKey is the context key under which checked leaves the peer's VM.
type peerKey struct{}

// errTooLarge means that an answer was over its bound.
var errTooLarge = errors.New("peer: the answer is too large")

// checked bounds the answers of the transport below it and tells who answers.
type checked struct {
	next   http.RoundTripper
	limits Limits
}

func (c *checked) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if vm, ok := r.Context().Value(peerKey{}).(*string); ok && resp.TLS != nil {
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

func (c *checked) CloseIdleConnections() {
	if t, ok := c.next.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
}

// boundedBody fails a read that goes over the bound, rather than ending it as
// if the answer were whole.
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

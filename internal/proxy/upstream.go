package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds on connections. The idle bound is shorter than the one of a node's
// own server (see ServerIdleTimeout), so that a connection is seldom closed by the
// far end in the moment it is used.
const (
	DialTimeout       = time.Second
	IdleTimeout       = 30 * time.Second
	ServerIdleTimeout = 2 * time.Minute
	maxIdlePerAddr    = 64
	maxUpstreamUnused = 10 * time.Minute
	keepAliveIdle     = 15 * time.Second
	keepAliveInterval = 3 * time.Second
	keepAliveCount    = 3
	unackedTimeout    = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	transportBuffer   = 8 << 10
)

// expectContinue bounds the wait of a streaming body for the destination's word, in
// effect by the attempt's own bound alone.
//
// Destinations always say whether they want the body, some after the call has waited
// for a slot. A body sent unasked before that could not be sent to another endpoint,
// and the refusal that follows it is lost whenever the far end closes its connection
// over the unread bytes: the caller would be told "may have run" of an upload that
// reached no backend server. Backend servers are sent no Expect.
const expectContinueTimeout = maxDeadline

// Upstreams keeps one pool of connections for each node, or for each address
// of a backend server, so that all connections to it can be retired together.
type Upstreams struct {
	mu     sync.Mutex // serialises writers
	byName sync.Map   // string to *upstream
	// secure is nil for plain connections.
	handshake   Handshake
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	idleTimeout time.Duration // how long an idle connection is kept
	// dialBound is how long a new connection may take.
	dialTimeout time.Duration
}

// Handshake turns a new connection into one on which vm itself has been proved to
// answer. It returns an error, and has sent no byte of a call, otherwise.
type Handshake func(ctx context.Context, raw net.Conn, vm string) (net.Conn, error)

// upstream is the pool of one node or address.
type upstream struct {
	addr      string
	transport *http.Transport
	// used is when a call last took the pool, in Unix seconds.
	lastUsed atomic.Int64
}

// ConnTimeouts says how the kernel finds out that the far end of a connection is gone.
type ConnTimeouts struct {
	KeepAliveIdle, KeepAliveInterval time.Duration // before the first probe, and between probes
	KeepAliveCount                   int           // probes without an answer that end the connection
	UnackedTimeout                   time.Duration // bytes without an acknowledgement that end it
	IdleTimeout                      time.Duration // how long an idle connection is kept
	DialTimeout                      time.Duration // until a new connection stands
}

// SlowDetection is for meshes whose calls are also given up when an answer takes
// too long; FastDetection where nothing else ends an attempt on a connection that
// went silent. The kernel counts keep-alive in whole seconds; swift probing ends a
// connection within 2 s, and survives a lost packet.
var (
	SlowDetection = ConnTimeouts{
		KeepAliveIdle: keepAliveIdle, KeepAliveInterval: keepAliveInterval, KeepAliveCount: keepAliveCount, UnackedTimeout: unackedTimeout, IdleTimeout: IdleTimeout, DialTimeout: DialTimeout,
	}
	FastDetection = ConnTimeouts{KeepAliveIdle: time.Second, KeepAliveInterval: time.Second, KeepAliveCount: 2, UnackedTimeout: 1500 * time.Millisecond, IdleTimeout: fastIdleTimeout, DialTimeout: fastDialTimeout}
)

// swiftDial is some hundred times the way between two data centres of one region.
// A VM behind a cut doesn't answer at all, and a call that waits a second for it is
// late; one whose first packet was lost goes to another endpoint as not run.
const fastDialTimeout = 300 * time.Millisecond

// swiftKept is half of the ten seconds after which the users' backend servers close
// an idle connection. A booking sent in that moment is reset, and nobody can tell
// whether it ran.
const fastIdleTimeout = 5 * time.Second

// NewUpstreams returns empty pools. They open connections over TCP.
func NewUpstreams(p ConnTimeouts) *Upstreams {
	u := NewUpstreamsWithDialer(p.dialer().DialContext)
	u.idleTimeout, u.dialTimeout = p.IdleTimeout, p.DialTimeout
	return u
}

func (p ConnTimeouts) dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: p.KeepAliveIdle, Interval: p.KeepAliveInterval, Count: p.KeepAliveCount},
		Control:         p.boundUnacked,
	}
}

// NewUpstreamsWithDialer returns empty pools that open connections by dial.
func NewUpstreamsWithDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Upstreams {
	u := &Upstreams{idleTimeout: IdleTimeout, dialTimeout: DialTimeout}
	u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, u.dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
	return u
}

// WithHandshake makes u ask s for every connection to another node. It must be called
// before u is used.
func (u *Upstreams) WithHandshake(s Handshake) *Upstreams {
	u.handshake = s
	return u
}

// get returns the pool of the node vm at addr, or of the backend server at addr
// when vm is empty.
//
// Pools of nodes are kept by VM. When a VM goes and another comes under its
// address, a pool kept by address would lead calls for the new VM onto
// connections that were proved to be the old one's, or the other way about.
func (u *Upstreams) get(now time.Time, addr, vm string) *upstream {
	name := poolName(addr, vm)
	if p, ok := u.byName.Load(name); ok {
		if up := p.(*upstream); up.addr == addr {
			if s := now.Unix(); up.lastUsed.Load() != s {
				up.lastUsed.Store(s)
			}
			return up
		}
	}
	return u.add(now, addr, vm)
}

// nameOf returns the name of a pool. No VM's ID contains a colon, and every
// address does.
func poolName(addr, vm string) string {
	if vm != "" {
		return vm
	}
	return addr
}

func (u *Upstreams) add(now time.Time, addr, vm string) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	name := poolName(addr, vm)
	if p, ok := u.byName.Load(name); ok {
		up := p.(*upstream)
		if up.addr == addr {
			return up
		}
		up.closeIdle() // the VM came back under another address
	}
	u.dropUnused(now)
	up := &upstream{addr: addr, transport: u.newTransport(vm)}
	up.lastUsed.Store(now.Unix())
	u.byName.Store(name, up)
	return up
}

// dropUnused forgets pools that no call has used for a while: VMs are replaced
// all day.
func (u *Upstreams) dropUnused(now time.Time) {
	u.byName.Range(func(name, p any) bool {
		up := p.(*upstream)
		if now.Unix()-up.lastUsed.Load() > int64(maxUpstreamUnused/time.Second) {
			u.byName.Delete(name)
			up.transport.CloseIdleConnections()
		}
		return true
	})
}

func (u *Upstreams) newTransport(vm string) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if by, ok := dialDeadline(ctx); ok {
				var cancel context.CancelFunc
				ctx, cancel = context.WithDeadline(ctx, by)
				defer cancel()
			}
			return u.connect(ctx, network, addr, vm)
		},
		// The answer is passed on as it is.
		DisableCompression:     true,
		MaxIdleConns:           maxIdlePerAddr,
		MaxIdleConnsPerHost:    maxIdlePerAddr,
		IdleConnTimeout:        u.idleTimeout,
		ExpectContinueTimeout:  expectContinueTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         transportBuffer,
		WriteBufferSize:        transportBuffer,
	}
}

// open dials and, between nodes, proves who answers. The transport takes the
// connection for a plain one, which keeps it to HTTP/1.1, and conn counts what
// the call itself writes, not what the handshake did.
func (u *Upstreams) connect(ctx context.Context, network, addr, vm string) (net.Conn, error) {
	raw, err := u.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if u.handshake == nil || vm == "" {
		return &conn{Conn: raw}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c, err := u.handshake(ctx, raw, vm)
	if err != nil {
		raw.Close()
		return nil, err
	}
	return &conn{Conn: c, raw: raw}, nil
}

// retire closes the idle connections of a pool whose address let a call wait
// past its bound. What cut off one connection has often cut off those opened
// with it, and the next calls would each find that out for themselves. Calls
// that are running keep their connections; new ones dial. Nothing is probed.
func (up *upstream) closeIdle() { up.transport.CloseIdleConnections() }

// Close closes all idle connections.
func (u *Upstreams) Close() {
	u.byName.Range(func(_, p any) bool {
		p.(*upstream).closeIdle()
		return true
	})
}

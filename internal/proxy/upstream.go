package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of connections. IdleTimeout is shorter than ServerIdleTimeout, that of a node's own server,
// so that the peer rarely closes a connection just as it is used.
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

// expectContinueTimeout limits how long a streaming body waits for "100 Continue". It is so long that
// only the attempt's own timeout takes effect.
//
// Destinations always send "100 Continue" or a refusal, some only after the call has queued for a
// slot. A body sent earlier could not be sent to another endpoint, and the refusal is lost if the
// peer closes the connection with unread bytes: the caller would get "may have run" for an upload
// that reached no backend server. Backend servers are sent no Expect.
const expectContinueTimeout = maxDeadline

// Upstreams keeps one connection pool for each node, or for each address of a backend server, so that
// all its idle connections can be closed together.
type Upstreams struct {
	mu     sync.Mutex // serialises writers
	byName sync.Map   // string to *upstream
	// secure is nil for plain connections.
	handshake   Handshake
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	idleTimeout time.Duration // how long an idle connection is kept
	// dialTimeout limits the time to establish a connection.
	dialTimeout time.Duration
	// maxConns limits the open connections; zero means no limit.
	maxConns int64
	open     atomic.Int64
	madeRoom atomic.Int64 // when idle connections were last closed to make room, in Unix milliseconds
	unopened atomic.Uint64
}

// Handshake returns a connection over raw whose peer is authenticated as vm, or an error. It sends no
// byte of a call.
type Handshake func(ctx context.Context, raw net.Conn, vm string) (net.Conn, error)

// upstream is the pool of one node or address.
type upstream struct {
	addr      string
	transport *http.Transport
	// unpooled uses each connection for one call; nil for nodes.
	unpooled *http.Transport
	// lastUsed is when a call last used the pool, in Unix seconds.
	lastUsed atomic.Int64
}

// ConnTimeouts configures how dead connections are detected, and the life of connections.
type ConnTimeouts struct {
	KeepAliveIdle, KeepAliveInterval time.Duration // before the first probe, and between probes
	KeepAliveCount                   int           // unanswered probes that end the connection
	UnackedTimeout                   time.Duration // age of unacknowledged data that ends it
	IdleTimeout                      time.Duration // how long an idle connection is kept
	DialTimeout                      time.Duration // to establish a connection
}

// SlowDetection is for meshes with attempt timeouts; FastDetection is for meshes where nothing else
// ends an attempt on a silent connection. The kernel counts keep-alive in whole seconds;
// FastDetection ends a connection within 2 s and tolerates a lost packet.
var (
	SlowDetection = ConnTimeouts{
		KeepAliveIdle: keepAliveIdle, KeepAliveInterval: keepAliveInterval, KeepAliveCount: keepAliveCount, UnackedTimeout: unackedTimeout, IdleTimeout: IdleTimeout, DialTimeout: DialTimeout,
	}
	FastDetection = ConnTimeouts{KeepAliveIdle: time.Second, KeepAliveInterval: time.Second, KeepAliveCount: 2, UnackedTimeout: 1500 * time.Millisecond, IdleTimeout: fastIdleTimeout, DialTimeout: fastDialTimeout}
)

// fastDialTimeout is about a hundred times the latency between two data centres of a region. A VM
// behind a network partition doesn't answer at all, and a call that waits a second for it is late. A
// call whose first packet was lost goes to another endpoint as not run.
const fastDialTimeout = 300 * time.Millisecond

// fastIdleTimeout is half of the 10 s after which the users' backend servers close an idle
// connection. A call sent at that moment is reset, and its outcome is unknown.
const fastIdleTimeout = 5 * time.Second

// NewUpstreams returns empty pools that open TCP connections with the timeouts t.
func NewUpstreams(t ConnTimeouts) *Upstreams {
	u := NewUpstreamsWithDialer(t.dialer().DialContext)
	u.idleTimeout, u.dialTimeout = t.IdleTimeout, t.DialTimeout
	return u
}

func (t ConnTimeouts) dialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: t.KeepAliveIdle, Interval: t.KeepAliveInterval, Count: t.KeepAliveCount},
		Control:         t.boundUnacked,
	}
}

// NewUpstreamsWithDialer returns empty pools that open connections with dial.
func NewUpstreamsWithDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Upstreams {
	u := &Upstreams{idleTimeout: IdleTimeout, dialTimeout: DialTimeout}
	u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, u.dialTimeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
	return u
}

// WithHandshake sets the handshake for connections to other nodes and returns u. It must be called
// before u is used.
func (u *Upstreams) WithHandshake(h Handshake) *Upstreams {
	u.handshake = h
	return u
}

// WithMaxConns limits the open connections and returns u. It must be called before u is used.
func (u *Upstreams) WithMaxConns(n int) *Upstreams {
	u.maxConns = int64(n)
	return u
}

// errTooManyConns means that no further connection may be opened. A call that fails with it was not sent.
var errTooManyConns = errors.New("proxy: too many connections are open")

// roomInterval is the least time between two rounds that close idle connections to make room.
const roomInterval = 100 * time.Millisecond

// admitConn counts a connection that is about to be opened, or fails if there are too many. Idle
// connections of all pools are closed first.
func (u *Upstreams) admitConn() error {
	if u.open.Add(1) <= u.maxConns || u.maxConns == 0 {
		return nil
	}
	now, last := time.Now().UnixMilli(), u.madeRoom.Load()
	if now-last >= roomInterval.Milliseconds() && u.madeRoom.CompareAndSwap(last, now) {
		u.Close()
	}
	if u.open.Load() <= u.maxConns {
		return nil
	}
	u.open.Add(-1)
	u.unopened.Add(1)
	return errTooManyConns
}

// OpenConns returns how many connections are open, and how many could not be opened for their number.
func (u *Upstreams) OpenConns() (open int64, refused uint64) { return u.open.Load(), u.unopened.Load() }

// get returns the pool of the node vm at addr, or of the backend server at addr
// when vm is empty.
//
// Pools of nodes are keyed by VM. If they were keyed by address and a VM was replaced by another at
// the same address, calls for one could use connections authenticated for the other.
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

// poolName returns the key of a pool. The two kinds can't collide: every address contains a colon, and
// no VM ID does.
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
		up.closeIdle() // the VM has a new address
	}
	u.dropUnused(now)
	up := &upstream{addr: addr, transport: u.newTransport(vm)}
	if vm == "" {
		up.unpooled = u.newTransport(vm)
		up.unpooled.DisableKeepAlives = true
	}
	up.lastUsed.Store(now.Unix())
	u.byName.Store(name, up)
	return up
}

// dropUnused removes pools that no call has used for maxUpstreamUnused, since VMs are replaced
// continually.
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
			if deadline, ok := dialDeadline(ctx); ok {
				var cancel context.CancelFunc
				ctx, cancel = context.WithDeadline(ctx, deadline)
				defer cancel()
			}
			return u.connect(ctx, network, addr, vm)
		},
		// The answer is relayed unchanged.
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

// connect dials and, between nodes, authenticates the peer. The transport treats the connection as a
// plain one, which keeps it on HTTP/1.1, and conn tracks the writes of the call but not those of the
// handshake.
func (u *Upstreams) connect(ctx context.Context, network, addr, vm string) (net.Conn, error) {
	if err := u.admitConn(); err != nil {
		return nil, err
	}
	c, err := u.establish(ctx, network, addr, vm)
	if err != nil {
		u.open.Add(-1)
		return nil, err
	}
	return c, nil
}

func (u *Upstreams) establish(ctx context.Context, network, addr, vm string) (net.Conn, error) {
	raw, err := u.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if u.handshake == nil || vm == "" {
		return newConn(raw, nil, &u.open), nil
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c, err := u.handshake(ctx, raw, vm)
	if err != nil {
		raw.Close()
		return nil, err
	}
	return newConn(c, raw, &u.open), nil
}

// closeIdle closes the idle connections of a pool after a call to its address timed out. Whatever
// broke one connection has often broken the others, and each later call would time out on one of
// them. Running calls keep their connections; new ones dial.
func (up *upstream) closeIdle() { up.transport.CloseIdleConnections() }

// Close closes all idle connections.
func (u *Upstreams) Close() {
	u.byName.Range(func(_, p any) bool {
		p.(*upstream).closeIdle()
		return true
	})
}

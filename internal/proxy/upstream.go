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
// own server (see ServerIdle), so that a connection is seldom closed by the
// far end in the moment it is used.
const (
	DialBound       = time.Second
	IdleBound       = 30 * time.Second
	ServerIdle      = 2 * time.Minute
	maxIdlePerAddr  = 64
	upstreamUnused  = 10 * time.Minute
	keepAliveIdle   = 15 * time.Second
	keepAliveEvery  = 3 * time.Second
	keepAliveCount  = 3
	unackedBound    = 10 * time.Second
	maxHeaderBytes  = 64 << 10
	expectContinue  = time.Second
	transportBuffer = 8 << 10
)

// Upstreams keeps one pool of connections for each address, so that all
// connections to an address can be retired together.
type Upstreams struct {
	mu     sync.Mutex // serialises writers
	byAddr sync.Map   // string to *upstream
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
}

// upstream is the pool of one address.
type upstream struct {
	transport *http.Transport
	// used is when a call last took the pool, in Unix seconds.
	used atomic.Int64
}

// NewUpstreams returns empty pools. They open connections over TCP.
func NewUpstreams() *Upstreams {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
		},
		Control: boundUnacked,
	}
	return NewUpstreamsBy(d.DialContext)
}

// NewUpstreamsBy returns empty pools that open connections by dial.
func NewUpstreamsBy(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Upstreams {
	return &Upstreams{dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, DialBound)
		defer cancel()
		return dial(ctx, network, addr)
	}}
}

// get returns the pool of addr.
func (u *Upstreams) get(now time.Time, addr string) *upstream {
	if p, ok := u.byAddr.Load(addr); ok {
		up := p.(*upstream)
		if s := now.Unix(); up.used.Load() != s {
			up.used.Store(s)
		}
		return up
	}
	return u.add(now, addr)
}

func (u *Upstreams) add(now time.Time, addr string) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p, ok := u.byAddr.Load(addr); ok {
		return p.(*upstream)
	}
	u.dropUnused(now)
	up := &upstream{transport: u.newTransport()}
	up.used.Store(now.Unix())
	u.byAddr.Store(addr, up)
	return up
}

// dropUnused forgets addresses that no call has used for a while: VMs are
// replaced all day, and each comes back under another address.
func (u *Upstreams) dropUnused(now time.Time) {
	u.byAddr.Range(func(addr, p any) bool {
		up := p.(*upstream)
		if now.Unix()-up.used.Load() > int64(upstreamUnused/time.Second) {
			u.byAddr.Delete(addr)
			up.transport.CloseIdleConnections()
		}
		return true
	})
}

func (u *Upstreams) newTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if by, ok := dialBy(ctx); ok {
				var cancel context.CancelFunc
				ctx, cancel = context.WithDeadline(ctx, by)
				defer cancel()
			}
			c, err := u.dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		// The answer is passed on as it is.
		DisableCompression:     true,
		MaxIdleConns:           maxIdlePerAddr,
		MaxIdleConnsPerHost:    maxIdlePerAddr,
		IdleConnTimeout:        IdleBound,
		ExpectContinueTimeout:  expectContinue,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         transportBuffer,
		WriteBufferSize:        transportBuffer,
	}
}

// retire closes the idle connections of a pool whose address let a call wait
// past its bound. What cut off one connection has often cut off those opened
// with it, and the next calls would each find that out for themselves. Calls
// that are running keep their connections; new ones dial. Nothing is probed.
func (up *upstream) retire() { up.transport.CloseIdleConnections() }

// Close closes all idle connections.
func (u *Upstreams) Close() {
	u.byAddr.Range(func(_, p any) bool {
		p.(*upstream).retire()
		return true
	})
}

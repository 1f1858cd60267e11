package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/platform/server"
)

// pipes is a network in memory, so that its time can be fake.
type pipes struct {
	accepted chan net.Conn
	done     chan struct{}
	once     sync.Once
	dials    atomic.Int64
	closed   atomic.Int64 // connections that the client has closed
	deaf     atomic.Int64 // connections up to this number no longer hear
}

func newPipes() *pipes {
	return &pipes{accepted: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.accepted <- &farEnd{Conn: far, p: p, number: p.dials.Add(1)}
	return near, nil
}

// farEnd is a connection that takes what comes in, but from some moment on
// keeps it to itself.
type farEnd struct {
	net.Conn
	p      *pipes
	number int64
}

func (c *farEnd) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil {
			c.p.closed.Add(1)
			return n, err
		}
		if c.number > c.p.deaf.Load() {
			return n, nil
		}
	}
}

// overPipes runs f with a platform and a client on a network in memory.
func overPipes(t *testing.T, f func(*testing.T, *pipes, *fake.Store, *Client)) {
	synctest.Test(t, func(t *testing.T) {
		p, store := newPipes(), fake.New()
		s := &http.Server{Handler: server.New(store)}
		go func() { _ = s.Serve(p) }()
		defer s.Close()
		o := Options{URL: "http://10.1.0.5:7300"}
		transport := newTransport(o.withDefaults())
		transport.DialContext = p.dial
		o.Transport = transport
		c := connect(t, o.URL, o)
		defer c.Close()
		f(t, p, store, c)
	})
}

// The platform takes a request and never says a word. A transaction must end
// by the bound of its one try and a read by the bound of the whole, and each
// connection must be closed, or the next call would wait on it too.
func TestSilentPlatformIsGivenUp(t *testing.T) {
	overPipes(t, func(t *testing.T, p *pipes, _ *fake.Store, c *Client) {
		p.deaf.Store(1 << 30)
		start := time.Now()
		if err := c.Table().Commit(t.Context(), set("k", "v")); !errors.Is(err, platform.ErrUnknown) {
			t.Errorf("got %v", err)
		}
		if took := time.Since(start); took != DefaultTimeout {
			t.Errorf("the commit took %v", took)
		}
		start = time.Now()
		if _, err := c.Table().Get(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
			t.Errorf("got %v", err)
		}
		if took := time.Since(start); took > DefaultTotal {
			t.Errorf("the read took %v", took)
		}
		synctest.Wait()
		if p.dials.Load() != p.closed.Load() {
			t.Errorf("%d connections made, %d closed", p.dials.Load(), p.closed.Load())
		}
		if c.Health().Answering {
			t.Error("health says that the platform answers")
		}
	})
}

// Something in between forgets all connections that are open; new ones work.
// Eight idle connections are in the pool. Each read that is given one of them
// would lose a whole try to it, one after the other; instead, the first miss
// has to drop them all.
func TestOneMissRetiresTheIdleConnectionsBesideIt(t *testing.T) {
	overPipes(t, func(t *testing.T, p *pipes, store *fake.Store, c *Client) {
		store.Freeze(true)
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() { _, _ = c.Table().Get(t.Context(), "k") })
		}
		synctest.Wait()
		store.Freeze(false)
		all.Wait()
		synctest.Wait()
		p.deaf.Store(p.dials.Load())
		if _, err := c.Table().Get(t.Context(), "k"); !errors.Is(err, platform.ErrNotFound) {
			t.Errorf("got %v", err)
		}
		if got := c.metrics.retries.Get(); got != 1 {
			t.Errorf("%d retries", got)
		}
		if p.dials.Load() != 9 {
			t.Errorf("%d connections made", p.dials.Load())
		}
	})
}

// A crowd of callers asks a platform that hangs. Without a bound each would
// hold a connection of its own; the platform must see only as many calls at
// once as the client is set to.
func TestCallsAtOnceAreBounded(t *testing.T) {
	overPipes(t, func(t *testing.T, p *pipes, store *fake.Store, c *Client) {
		store.Freeze(true)
		var all sync.WaitGroup
		for range 4 * DefaultConcurrency {
			all.Go(func() { _ = c.Table().Commit(t.Context(), set("k", "v")) })
		}
		synctest.Wait()
		if n := store.Counts().Writes; n != DefaultConcurrency {
			t.Errorf("%d writes at once", n)
		}
		store.Freeze(false)
		all.Wait()
	})
}

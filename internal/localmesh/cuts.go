package localmesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Platform is the name of the platform's place.
const Platform = "platform"

// Mode is how a cut shows to those it parts.
type Mode int

// Modes of a cut.
const (
	// Refused closes connections and refuses new ones.
	Refused Mode = iota + 1
	// Silent swallows what is sent and answers nothing, on open connections
	// and on new ones. An open one stays silent when the cut heals, as one
	// does that something between its ends has lost track of.
	Silent
)

// ErrCut is how a dial across a Refused cut fails.
var ErrCut = errors.New("localmesh: connection refused by a cut")

// place is the names that one end of a connection goes by: VM, data centre and
// region, or Platform.
type place []string

// pair is two names in order.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// Cuts part places of a mesh. A place is named by a VM, a data centre, a
// region, or Platform. The way of a call from a node to the backend servers
// beside it is never cut.
type Cuts struct {
	mu     sync.Mutex
	places map[string]place // by address
	cuts   map[pair]Mode
	conns  map[*cutConn]struct{}

	platformIn, platformOut atomic.Int64
}

func newCuts() *Cuts {
	return &Cuts{
		places: make(map[string]place),
		cuts:   make(map[pair]Mode),
		conns:  make(map[*cutConn]struct{}),
	}
}

// PlatformBytes returns the bytes that nodes read from the platform and wrote
// to it, with HTTP.
func (c *Cuts) PlatformBytes() (in, out int64) { return c.platformIn.Load(), c.platformOut.Load() }

// Part cuts the ways between two places, in both directions.
func (c *Cuts) Part(m Mode, a, b string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[pairOf(a, b)] = m
	for conn := range c.conns {
		if mode := c.between(conn.from, conn.to); mode != 0 {
			conn.cut(mode)
		}
	}
}

// PartAll cuts the ways between any two of the places.
func (c *Cuts) PartAll(m Mode, places ...string) {
	for i, a := range places {
		for _, b := range places[i+1:] {
			c.Part(m, a, b)
		}
	}
}

// Heal ends the cut between two places.
func (c *Cuts) Heal(a, b string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cuts, pairOf(a, b))
}

// HealAll ends all cuts.
func (c *Cuts) HealAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.cuts)
}

func (c *Cuts) add(addr string, p place) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.places[addr] = p
}

// between returns the mode of the cut between two places, or 0.
func (c *Cuts) between(from, to place) Mode {
	for _, a := range from {
		for _, b := range to {
			if m := c.cuts[pairOf(a, b)]; m != 0 {
				return m
			}
		}
	}
	return 0
}

// dialer returns what a node at a place opens its connections with.
func (c *Cuts) dialer(from place) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		to, err := c.pass(ctx, from, addr)
		if err != nil {
			return nil, err
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c.track(conn, from, to), nil
	}
}

// pass returns the place at addr, or fails as the cut would. A dial into a
// silent cut does not go through when the cut heals meanwhile: its packets were
// lost, and are sent again only after a second or more.
func (c *Cuts) pass(ctx context.Context, from place, addr string) (place, error) {
	c.mu.Lock()
	to := c.places[addr]
	mode := c.between(from, to)
	c.mu.Unlock()
	switch mode {
	case Refused:
		return nil, fmt.Errorf("%w: %s to %s", ErrCut, from[0], addr)
	case Silent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return to, nil
}

func (c *Cuts) track(conn net.Conn, from, to place) *cutConn {
	out := &cutConn{Conn: conn, cuts: c, from: from, to: to, closed: make(chan struct{})}
	if len(to) > 0 && to[0] == Platform {
		out.in, out.out = &c.platformIn, &c.platformOut
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[out] = struct{}{}
	// A cut may have come while the connection was being made.
	if mode := c.between(from, to); mode != 0 {
		out.cut(mode)
	}
	return out
}

func (c *Cuts) forget(conn *cutConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

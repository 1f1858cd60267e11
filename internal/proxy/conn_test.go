package proxy

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// sink counts what is written to it.
type sink struct {
	net.Conn
	bytes  atomic.Int64
	closed atomic.Bool
}

func (s *sink) Write(p []byte) (int, error) {
	s.bytes.Add(int64(len(p)))
	return len(p), nil
}

func (s *sink) Close() error {
	s.closed.Store(true)
	return nil
}

// An attempt fails at the moment when the transport's writer begins to write.
// Whichever comes first, a call that is said not to have been sent must not
// leave a byte on the connection.
func TestBarAndWriteRace(t *testing.T) {
	for range 2000 {
		s := new(sink)
		c := &conn{Conn: s}
		ticket := c.assign(nil)
		var barred bool
		var wg sync.WaitGroup
		wg.Go(func() { barred = c.blockWrites(ticket) })
		wg.Go(func() { c.Write([]byte("request")) })
		wg.Wait()
		c.Write([]byte("more"))
		if barred && s.bytes.Load() > 0 {
			t.Fatal("barred, and written to")
		}
		if !barred && s.bytes.Load() == 0 {
			t.Fatal("not barred, and not written to")
		}
	}
}

// Random steps of calls, writes, bars and kills in any order, each with a
// ticket that may be out of date: a bar that held means that nothing was
// written for its call, and an old ticket has no power over a later call.
func TestConnSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := new(sink)
		c := &conn{Conn: s}
		tickets := []uint64{c.assign(nil)}
		written := map[uint64]bool{}
		said := map[uint64]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) { tickets = append(tickets, c.assign(nil)) },
			"write": func(*rapid.T) {
				if _, err := c.Write([]byte("x")); err == nil {
					written[tickets[len(tickets)-1]] = true
				}
			},
			"bar": func(t *rapid.T) {
				ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
				if c.blockWrites(ticket) {
					said[ticket] = true
				}
			},
			"kill": func(t *rapid.T) {
				ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
				current := ticket == tickets[len(tickets)-1]
				before := s.closed.Load()
				c.closeFor(ticket)
				if !current && !before && s.closed.Load() {
					t.Fatal("an old ticket closed the connection")
				}
			},
			"": func(t *rapid.T) {
				for ticket := range said {
					if written[ticket] {
						t.Fatal("said to be unsent, and written")
					}
				}
			},
		})
	})
}

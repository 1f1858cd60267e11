package localmesh

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
)

var (
	north = place{"n1", "north", "r1"}
	south = place{"s1", "south", "r2"}
)

// echo serves connections of the place south that send back what they get.
func echo(t *testing.T, c *Cuts) string {
	t.Helper()
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				conn.Close()
			}()
		}
	}()
	c.add(ln.Addr().String(), south)
	return ln.Addr().String()
}

func roundTrip(c net.Conn) error {
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func TestCutsPartEachNameOfAPlace(t *testing.T) {
	for _, names := range [][2]string{{"n1", "s1"}, {"south", "north"}, {"r1", "s1"}, {"r1", "r2"}} {
		c := newCuts()
		addr := echo(t, c)
		dial := c.dialer(north)
		conn, err := dial(t.Context(), "tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if err := roundTrip(conn); err != nil {
			t.Fatal(err)
		}
		c.Part(Refused, names[0], names[1])
		if err := roundTrip(conn); err == nil {
			t.Errorf("%v: an open connection goes on", names)
		}
		if _, err := dial(t.Context(), "tcp", addr); !errors.Is(err, ErrCut) {
			t.Errorf("%v: got %v", names, err)
		}
		if _, err := c.dialer(south)(t.Context(), "tcp", addr); err != nil {
			t.Errorf("%v: within one place: %v", names, err)
		}
		c.Heal(names[1], names[0])
		again, err := dial(t.Context(), "tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if err := roundTrip(again); err != nil {
			t.Errorf("%v: after the cut: %v", names, err)
		}
		again.Close()
		conn.Close()
	}
}

func TestASilentCutSwallowsAndItsConnectionsStaySilent(t *testing.T) {
	c := newCuts()
	addr := echo(t, c)
	dial := c.dialer(north)
	conn, err := dial(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.PartAll(Silent, "north", "east", "south")
	read := make(chan error, 1)
	go func() { read <- roundTrip(conn) }()
	ctx, cancel := context.WithCancel(t.Context())
	dialled := make(chan error, 1)
	go func() {
		_, err := dial(ctx, "tcp", addr)
		dialled <- err
	}()
	cancel()
	if err := <-dialled; !errors.Is(err, context.Canceled) {
		t.Errorf("a dial into a silent cut: %v", err)
	}
	c.HealAll()
	if fresh, err := dial(t.Context(), "tcp", addr); err != nil {
		t.Error(err)
	} else if err := roundTrip(fresh); err != nil {
		t.Error(err)
	}
	select {
	case err := <-read:
		t.Errorf("the silenced connection answered: %v", err)
	default:
	}
	conn.Close()
	if err := <-read; err == nil {
		t.Error("the silenced connection answered")
	}
}

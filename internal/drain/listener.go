package drain

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// emptyFor is how long nobody may have come before a socket is closed.
	emptyFor = 10 * time.Millisecond
	// takeWithin is when a shorter pause has to do, where clients come all the while.
	takeWithin = 100 * time.Millisecond
	shortPause = time.Millisecond
)

// Listener is a listening socket that can be closed without resetting the connections that the
// kernel has made on it and nobody has accepted yet: their clients may have sent a call already.
type Listener struct {
	net.Listener
	deadline func(time.Time) error // nil where the listener has none

	mu       sync.Mutex // guards the next two
	stopping bool
	end      time.Time // a short pause does after it

	empty     chan struct{} // closed once nobody waits any more
	emptyOnce sync.Once
	closeOnce sync.Once
}

// NewListener returns ln as a listener that can be stopped.
func NewListener(ln net.Listener) *Listener {
	l := &Listener{Listener: ln, empty: make(chan struct{})}
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); ok {
		l.deadline = d.SetDeadline
	}
	return l
}

// Accept implements net.Listener. Once the listener is stopped it returns the connections that
// wait, then closes the socket and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		looking := l.begin()
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case !l.Stopping():
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded) && (!looking || l.somebodyWaits()):
			// The deadline has only woken it up, or passed before Accept looked.
		case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed):
			l.Close()
			l.emptyOnce.Do(func() { close(l.empty) })
			return nil, net.ErrClosed
		default:
			return nil, err
		}
	}
}

// begin sets how long the next connection is waited for, and reports whether the listener is
// stopping, so that Accept looks for those who wait already.
func (l *Listener) begin() (looking bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping || l.deadline == nil {
		return l.stopping
	}
	now, pause := time.Now(), emptyFor
	if now.After(l.end) {
		pause = shortPause
	}
	_ = l.deadline(now.Add(pause)) // an error means that the socket is closed, which Accept tells
	return true
}

// Close implements net.Listener. It may be called again.
func (l *Listener) Close() error {
	var err error
	l.closeOnce.Do(func() { err = l.Listener.Close() })
	return err
}

// Stopping reports whether Stop was called.
func (l *Listener) Stopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopping
}

// Stop closes the socket, once those who wait at it were accepted by whoever calls Accept. It
// returns when that is done, or at the end of ctx, or when nobody accepts.
func (l *Listener) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*takeWithin)
	defer cancel()
	l.wake()
	select {
	case <-l.empty:
	case <-ctx.Done():
	}
	l.Close()
}

// wake makes the Accept that waits look whether it is to go on.
func (l *Listener) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return
	}
	l.stopping, l.end = true, time.Now().Add(takeWithin)
	if l.deadline == nil || l.deadline(time.Unix(1, 0)) != nil {
		l.Close()
	}
}

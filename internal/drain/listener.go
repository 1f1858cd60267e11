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
	// emptyPeriod is how long no connection may arrive before a socket is closed.
	emptyPeriod = 10 * time.Millisecond
	// emptyTimeout is the time after which a shorter period suffices, for clients that keep
	// connecting.
	emptyTimeout     = 100 * time.Millisecond
	shortEmptyPeriod = time.Millisecond
)

// Listener is a listening socket that can be closed without resetting the connections in the
// kernel's accept queue, whose clients may have sent a call already.
type Listener struct {
	net.Listener
	setDeadline func(time.Time) error // nil where the listener has none

	mu       sync.Mutex // guards the next two
	stopping bool
	end      time.Time // shortEmptyPeriod applies after it

	empty     chan struct{} // closed once the accept queue is empty
	emptyOnce sync.Once
	closeOnce sync.Once
}

// NewListener returns ln as a listener that can be stopped.
func NewListener(ln net.Listener) *Listener {
	l := &Listener{Listener: ln, empty: make(chan struct{})}
	if d, ok := ln.(interface{ SetDeadline(time.Time) error }); ok {
		l.setDeadline = d.SetDeadline
	}
	return l
}

// Accept implements net.Listener. Once the listener is stopped it returns the connections in the
// accept queue, then closes the socket and returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		draining := l.startAccept()
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case !l.Stopping():
			return nil, err
		case errors.Is(err, os.ErrDeadlineExceeded) && (!draining || l.hasPending()):
			// The deadline only woke up Accept, or passed before Accept checked the queue.
		case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed):
			l.Close()
			l.emptyOnce.Do(func() { close(l.empty) })
			return nil, net.ErrClosed
		default:
			return nil, err
		}
	}
}

// startAccept sets the deadline for the next connection, and reports whether the listener is
// stopping, so that Accept empties the queue.
func (l *Listener) startAccept() (draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopping || l.setDeadline == nil {
		return l.stopping
	}
	now, period := time.Now(), emptyPeriod
	if now.After(l.end) {
		period = shortEmptyPeriod
	}
	_ = l.setDeadline(now.Add(period)) // an error means that the socket is closed; Accept returns it
	return true
}

// Close implements net.Listener. It may be called more than once.
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

// Stop closes the socket once the goroutine that calls Accept has emptied the accept queue. It
// returns when that is done, at the end of ctx, or after 2*emptyTimeout if nothing calls Accept.
func (l *Listener) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*emptyTimeout)
	defer cancel()
	l.wakeAccept()
	select {
	case <-l.empty:
	case <-ctx.Done():
	}
	l.Close()
}

// wakeAccept makes a blocked Accept check whether the listener is stopping.
func (l *Listener) wakeAccept() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return
	}
	l.stopping, l.end = true, time.Now().Add(emptyTimeout)
	if l.setDeadline == nil || l.setDeadline(time.Unix(1, 0)) != nil {
		l.Close()
	}
}

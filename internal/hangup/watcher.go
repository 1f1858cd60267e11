// Package hangup detects that a peer has closed its TCP connection while bytes that it sent before
// are still unread.
//
// A read returns the end of a connection only after all bytes before it. A server that has not read
// a request's body yet, because the request waits for its turn, learns nothing of a client that has
// left. The kernel knows: a Watcher polls it for connections that the peer has closed or reset, without
// reading from them.
//
// A peer that only closes its sending side and still reads cannot be told from one that has closed the
// connection; both count as closed, as they do for net/http.
package hangup

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/marlpass/marlpass/internal/defect"
)

// Interval is the time between two polls. A connection is first polled after it was watched for this
// long, so that a close is detected within twice this time.
const Interval = 100 * time.Millisecond

// Watcher watches connections. Its zero value is ready to use. It runs only while there are any that
// have been watched for longer than Interval, since most calls do not wait that long.
type Watcher struct {
	mu      sync.Mutex // guards the rest
	watched map[*watch]struct{}
	running bool
}

type watch struct {
	fd      int
	closed  func()
	delay   *time.Timer
	stopped bool // guarded by Watcher.mu
}

// Watch calls closed once when the peer of c has closed or reset it, until stop is called. A call that
// is under way may outlast stop. Connections other than TCP, or TLS over TCP, are not watched.
func (w *Watcher) Watch(c net.Conn, closed func()) (stop func()) {
	fd, ok := descriptor(c)
	if !ok || defect.On(defect.MissLeavers) {
		return func() {}
	}
	x := &watch{fd: fd, closed: closed}
	x.delay = time.AfterFunc(Interval, func() { w.add(x) })
	return func() { w.remove(x) }
}

// add polls a connection from now on.
func (w *Watcher) add(x *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x.stopped {
		return
	}
	if w.watched == nil {
		w.watched = make(map[*watch]struct{})
	}
	w.watched[x] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

// remove ends a watch.
func (w *Watcher) remove(x *watch) {
	x.delay.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	x.stopped = true
	delete(w.watched, x)
}

// descriptor returns the file descriptor of a TCP connection. It is used after c may have been closed
// and the descriptor reused: what is then polled concerns another connection, and is told to the owner
// of a closed one.
func descriptor(c net.Conn) (fd int, ok bool) {
	if t, isTLS := c.(interface{ NetConn() net.Conn }); isTLS {
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(d uintptr) { fd = int(d) })
	return fd, err == nil
}

// run polls until no connection is watched.
func (w *Watcher) run() {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	var p poller
	var list []*watch
	for range ticker.C {
		list = list[:0]
		w.mu.Lock()
		for x := range w.watched {
			list = append(list, x)
		}
		w.running = len(list) > 0
		w.mu.Unlock()
		if len(list) == 0 {
			return
		}
		for _, i := range p.poll(list) {
			if w.take(list[i]) {
				list[i].closed()
			}
		}
		clear(list)
	}
}

// take ends a watch, and reports whether it was not stopped meanwhile.
func (w *Watcher) take(x *watch) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.watched[x]
	delete(w.watched, x)
	return ok
}

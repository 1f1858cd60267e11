package load

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// middlebox is something between two ends that keeps track of connections, such
// as a firewall, and can lose track of them: bytes of those are taken and never
// delivered, and neither end is told. New connections work.
type middlebox struct {
	ln     net.Listener
	target atomic.Pointer[string]

	mu    sync.Mutex // guards flows
	flows map[*flow]struct{}
}

// flow is one connection through a middlebox.
type flow struct {
	near, far net.Conn
	forgotten atomic.Bool
	once      sync.Once
}

func newMiddlebox() (*middlebox, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &middlebox{ln: ln, flows: make(map[*flow]struct{})}
	go m.accept()
	return m, nil
}

func (m *middlebox) addr() string { return m.ln.Addr().String() }

// lead sets where new connections go.
func (m *middlebox) lead(to string) { m.target.Store(&to) }

// forget loses track of all connections.
func (m *middlebox) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for f := range m.flows {
		f.forgotten.Store(true)
	}
}

func (m *middlebox) accept() {
	for {
		c, err := m.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go m.carry(c)
		}
	}
}

const middleboxDial = time.Second

func (m *middlebox) carry(near net.Conn) {
	to := m.target.Load()
	if to == nil {
		near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", *to, middleboxDial)
	if err != nil {
		near.Close()
		return
	}
	f := &flow{near: near, far: far}
	m.mu.Lock()
	m.flows[f] = struct{}{}
	m.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { f.copy(far, near) })
	both.Go(func() { f.copy(near, far) })
	both.Wait()
	f.close()
	m.mu.Lock()
	delete(m.flows, f)
	m.mu.Unlock()
}

// copy passes bytes on until the flow is forgotten; from then on it only takes
// them. The end of a forgotten connection is not passed on either.
func (f *flow) copy(to, from net.Conn) {
	buf := make([]byte, middleboxBuffer)
	for {
		n, err := from.Read(buf)
		if f.forgotten.Load() {
			if err == nil {
				continue
			}
			from.Close()
			return
		}
		if n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if err != io.EOF || f.forgotten.Load() {
				from.Close()
			}
			f.close()
			return
		}
	}
}

const middleboxBuffer = 32 << 10

func (f *flow) close() {
	f.once.Do(func() {
		f.near.Close()
		f.far.Close()
	})
}

// close ends the middlebox and every connection through it.
func (m *middlebox) close() {
	m.ln.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for f := range m.flows {
		go f.close()
	}
}

package message

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/marlpass/marlpass/internal/defect"
)

// Conn is a client's connection that passes on answers in HTTP/1.1 alone. The first read behind such an
// answer fails, and so do all later ones.
type Conn struct {
	WriteWatch
	mu      sync.Mutex // guards answers
	answers Response
}

// NewConn returns a connection over c, on which nothing has been sent yet.
func NewConn(c net.Conn) *Conn { return &Conn{WriteWatch: WriteWatch{Conn: c}} }

// NetConn returns the connection under c.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Begin must be called before a request is sent. It fails if the connection can carry no further one.
func (c *Conn) Begin(method string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.answers.Begin(method); !defect.On(defect.PassMalformed) {
		return err
	}
	return nil
}

// Read reads a part of an answer.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.malformed(); err != nil && !defect.On(defect.PassMalformed) {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	checked, malformed := c.answers.Add(p[:n])
	untilClose := c.answers.UntilClose()
	c.mu.Unlock()
	switch {
	case malformed != nil && !defect.On(defect.PassMalformed):
		return checked, malformed
	case err == io.EOF && untilClose && c.WasReset():
		return n, errCut
	}
	return n, err
}

// malformed returns the error that ended the reading of answers. net/http passes over an error behind a
// part of a line.
func (c *Conn) malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers.err
}

// Transport passes on answers in HTTP/1.1 alone; see Conn. All other answers are errors of the request, or
// of its body.
type Transport struct{ *http.Transport }

// NewTransport returns t with its connections checked. t must not be used before or beside it.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	t.ForceAttemptHTTP2 = false
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c, err := handshake(ctx, raw, addr, t)
		if err != nil {
			raw.Close()
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{t}
}

func handshake(ctx context.Context, raw net.Conn, addr string, t *http.Transport) (*tls.Conn, error) {
	cfg := &tls.Config{}
	if t.TLSClientConfig != nil {
		cfg = t.TLSClientConfig.Clone()
	}
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		cfg.ServerName = host
	}
	if t.TLSHandshakeTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.TLSHandshakeTimeout)
		defer cancel()
	}
	c := tls.Client(raw, cfg)
	return c, c.HandshakeContext(ctx)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *Conn // of the last try
	sent := r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			used = info.Conn.(*Conn)
			if used.Begin(r.Method) != nil {
				used.Close()
			}
		},
	}))
	resp, err := t.Transport.RoundTrip(sent)
	if err != nil {
		return nil, err
	}
	resp.Request = r
	if c, ok := used.Conn.(*tls.Conn); ok {
		state := c.ConnectionState()
		resp.TLS = &state
	}
	return resp, nil
}

package client

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	idleTimeout = 30 * time.Second
	// maxAnswer is the size in bytes of the largest answer that is read.
	maxAnswer = 2 * MaxObject
)

// newTransport returns the transport used by default.
//
// It guards against connections that go silent for good while new ones work:
// the request on such a connection misses its bound and HTTP/1.1 then closes
// the connection, so no later request waits on it. HTTP/2 would keep it and
// send all others into it too; that's why it's off. The bound is the deadline
// of the try alone: a ResponseHeaderTimeout beside it would strike in the same
// moment and leave to chance which of the two the client sees.
func newTransport(o Options) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	dial := o.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return &http.Transport{
		// Half of a try, so that a connection that can't be made is told
		// apart from an answer that doesn't come.
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, o.Timeout/2)
			defer cancel()
			return dial(ctx, network, addr)
		},
		TLSHandshakeTimeout: o.Timeout / 2,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: o.Concurrency,
		DisableCompression:  true,
		Protocols:           &protocols,
	}
}

// progress is how far a try got.
type progress struct {
	traced    bool         // the transport tells of its connections
	connected atomic.Bool  // a connection was at hand: bytes may have been sent
	status    atomic.Int64 // status of the answer, 0 without one
}

type progressKey struct{}

// watch returns a context that notes in p how far a request gets.
func watch(ctx context.Context, p *progress) context.Context {
	ctx = context.WithValue(ctx, progressKey{}, p)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { p.connected.Store(true) },
	})
}

// watched notes the status of answers and bounds their size.
type watched struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (w watched) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := w.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if p, ok := r.Context().Value(progressKey{}).(*progress); ok {
		p.status.Store(int64(resp.StatusCode))
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxAnswer)
	return resp, nil
}

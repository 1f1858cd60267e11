package load

import (
	"io"
	"net/http"
	"net/url"
)

// Bare is the least relay that net/http allows: it copies the request, sends
// it, and copies the answer, with none of the checks, headers, bounds and
// decisions of a node. It is what a node's cost is measured against, and not
// fit for use.
type Bare struct {
	Addr      string
	Transport *http.Transport
	// Header is added to every request, so that net/http carries as many
	// headers on either way.
	Header http.Header
	// Drop is a header that is not passed on, or empty.
	Drop string
}

// ServeHTTP relays one request.
func (b *Bare) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := r.WithContext(r.Context())
	out.URL = &url.URL{Scheme: "http", Host: b.Addr, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	out.RequestURI = ""
	delete(out.Header, b.Drop)
	for name, values := range b.Header {
		out.Header[name] = values
	}
	resp, err := b.Transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	buf := bareBuffers.get()
	defer bareBuffers.put(buf)
	if _, err := io.CopyBuffer(onlyWriter{w}, resp.Body, buf[:]); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// onlyWriter hides ReadFrom, which would not use the buffer.
type onlyWriter struct{ io.Writer }

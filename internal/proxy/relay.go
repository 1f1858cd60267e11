package proxy

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
)

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// relayResult describes how far an answer was relayed.
type relayResult struct {
	bytes      int64
	partial    bool // the answer was truncated
	readerGone bool // the reader left
}

// relay relays an answer. When it returns with partial set, the caller must abort the connection,
// so that a truncated answer never looks complete. capture, which may be nil, receives every part
// of the body. After the reader has left, relay continues to read the body while capture returns
// true.
func relay(w http.ResponseWriter, resp *http.Response, capture func([]byte) (wanted bool)) relayResult {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	announceTrailers(h, resp.Trailer)
	w.WriteHeader(resp.StatusCode)
	p := relayBody(w, resp, capture)
	if !p.partial && !p.readerGone {
		copyTrailers(h, resp.Trailer)
	}
	return p
}

// relayBody copies the body, and flushes after each part except the last: a caller of a stream gets
// each part when the backend server sends it, and a short answer leaves in one write.
func relayBody(w http.ResponseWriter, resp *http.Response, capture func([]byte) bool) relayResult {
	flusher, _ := w.(http.Flusher)
	if resp.ContentLength < 0 && flusher != nil {
		flusher.Flush()
	}
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	var p relayResult
	for {
		n, err := resp.Body.Read(buf[:])
		if n > 0 {
			wanted := capture != nil && capture(buf[:n])
			p.bytes += int64(n)
			if !p.readerGone {
				_, werr := w.Write(buf[:n])
				p.readerGone = werr != nil
			}
			if p.readerGone && !wanted && err != io.EOF {
				p.partial = capture != nil
				return p
			}
		}
		if err == io.EOF {
			p.partial = resp.ContentLength > 0 && p.bytes < resp.ContentLength && !hasNoBody(resp)
			return p
		}
		if err != nil {
			p.readerGone = p.readerGone || callCanceled(resp)
			p.partial = !p.readerGone || capture != nil
			return p
		}
		if flusher != nil && p.bytes != resp.ContentLength {
			flusher.Flush()
		}
	}
}

// callCanceled reports whether the call of resp was canceled by the previous hop, so that a
// truncated answer is no evidence against its sender.
func callCanceled(resp *http.Response) bool {
	return resp.Request != nil && resp.Request.Context().Err() != nil
}

// hasNoBody reports whether resp has no body despite its Content-Length.
func hasNoBody(resp *http.Response) bool {
	return resp.Request != nil && resp.Request.Method == http.MethodHead ||
		resp.StatusCode == http.StatusNotModified
}

const trailerSep = ", "

func announceTrailers(h http.Header, trailer http.Header) {
	if len(trailer) == 0 {
		return
	}
	names := make([]string, 0, len(trailer))
	for name := range trailer {
		names = append(names, name)
	}
	h["Trailer"] = []string{strings.Join(names, trailerSep)}
}

// copyTrailers sets the received trailers. Trailers that were not announced need a prefix.
func copyTrailers(h http.Header, trailer http.Header) {
	if len(trailer) == 0 {
		return
	}
	announced := strings.Split(first(h, "Trailer"), trailerSep)
	for name, values := range trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

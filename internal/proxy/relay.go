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

// passed is what was passed on of an answer.
type relayResult struct {
	bytes      int64
	partial    bool // the answer did not come whole
	readerGone bool // the reader did not take it
}

// relay passes an answer on. When it returns with partial set, the caller
// must abort the connection, so that a cut answer never looks like a whole one.
// keep, which may be nil, sees every part of the body. After the reader has gone
// the body is read on while keep says that it is wanted.
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

// relayBody copies the body, and flushes whatever came unless it was the end
// of it: a caller of a stream sees each part when the backend server sent it,
// and a short answer leaves in one write.
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

// callerLeft reports whether the call of resp was cancelled from above, so that
// an answer that stops says nothing of whoever gave it.
func callCanceled(resp *http.Response) bool {
	return resp.Request != nil && resp.Request.Context().Err() != nil
}

// bodyless reports whether the length of resp tells of a body that is not sent.
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

// copyTrailers sets the trailers that came. Those announced are taken by their
// name, others need the prefix.
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

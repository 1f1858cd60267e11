package proxy

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
// Expect and Trailer are handled by themselves.
var hopByHop = [...]string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Transfer-Encoding", "Upgrade",
}

const internalPrefix = "Marlpass-"

// first returns the first value of a header, or "". Unlike Header.Get it doesn't canonicalise the
// name.
func first(h http.Header, canonical string) string {
	if v := h[canonical]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// dropHopByHop removes the hop-by-hop headers, including those named in Connection.
func dropHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(token))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// dropInternal removes every header that only nodes may set.
func dropInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalPrefix) {
			delete(h, name)
		}
	}
}

// wantsUpgrade reports whether the caller wants to switch protocols on this connection, which is not
// supported.
func wantsUpgrade(r *http.Request) bool {
	return r.Method == http.MethodConnect || len(r.Header["Upgrade"]) > 0
}

// addForwarded appends the caller's address to X-Forwarded-For.
func addForwarded(h http.Header, remote string) {
	ip, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	if old := h["X-Forwarded-For"]; len(old) > 0 {
		ip = strings.Join(old, ", ") + ", " + ip
	}
	h["X-Forwarded-For"] = []string{ip}
}

// timeLeft returns the time that the caller's deadline header allows, at most maxDeadline, or
// granted if there is no such header. It returns false if the header is not a whole number.
func timeLeft(h http.Header, granted time.Duration) (time.Duration, bool) {
	s := first(h, call.HeaderDeadline)
	if s == "" {
		return granted, true
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, false
	}
	// The lower bound matters too: the product of a large negative number overflows to a
	// deadline centuries ahead.
	const most = int64(maxDeadline / time.Millisecond)
	ms = min(max(ms, -most), most)
	return time.Duration(ms) * time.Millisecond, true
}

// maxDeadline is the longest deadline that a caller may set.
const maxDeadline = time.Hour

// attemptHeaders returns the headers of an attempt to a backend server: a fresh nonce and the time
// left, rounded down so that a hop never grants more time than remains. Both values share one
// allocation.
func attemptHeaders(left time.Duration) (nonce, ms Header) {
	b := make([]byte, 0, 32)
	b = strconv.AppendUint(b, rand.Uint64(), 16)
	n := len(b)
	b = strconv.AppendInt(b, int64(left/time.Millisecond), 10)
	s := string(b)
	return Header{call.HeaderAttempt, s[:n]}, Header{call.HeaderDeadline, s[n:]}
}

// parseLoad parses "busy/slots". It returns the zero Load if the header is missing or malformed. A
// third figure counts as malformed, so what nodes report beyond it has headers of its own.
func parseLoad(h http.Header) Load {
	busy, slots, ok := strings.Cut(first(h, call.HeaderLoad), "/")
	if !ok {
		return Load{}
	}
	b, err1 := strconv.ParseUint(busy, 10, 20)
	s, err2 := strconv.ParseUint(slots, 10, 20)
	if err1 != nil || err2 != nil {
		return Load{}
	}
	return Load{Busy: int(b), Slots: int(s), Known: true}
}

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

// first returns the first value of a header whose name is canonical. Unlike
// Header.Get it does not look at the name's spelling.
func first(h http.Header, canonical string) string {
	if v := h[canonical]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// dropHopByHop removes the headers of one connection.
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

// dropOwn removes every header that only nodes may set. Whoever else sends
// one is not believed.
func dropInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, internalPrefix) {
			delete(h, name)
		}
	}
}

// wantsUpgrade reports whether the caller asks to leave HTTP on this
// connection, which a call cannot do.
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

// timeLeft returns what the caller allows, at most maxDeadline, or what the
// target grants when the caller says nothing. The last result is false when the
// caller sent something else than a number.
func timeLeft(h http.Header, granted time.Duration) (time.Duration, bool) {
	s := first(h, call.HeaderDeadline)
	if s == "" {
		return granted, true
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, false
	}
	// Both ends are bounded before the multiplication: far below zero, the
	// product overflows to a deadline in centuries.
	const most = int64(maxDeadline / time.Millisecond)
	ms = min(max(ms, -most), most)
	return time.Duration(ms) * time.Millisecond, true
}

// maxDeadline bounds what a caller may ask for.
const maxDeadline = time.Hour

// attemptHeaders returns what a backend server is told of the attempt: a fresh
// nonce, and the time left, rounded down so that a hop never grants more than
// there is. The two values share their memory.
func attemptHeaders(left time.Duration) (nonce, ms Header) {
	b := make([]byte, 0, 32)
	b = strconv.AppendUint(b, rand.Uint64(), 16)
	n := len(b)
	b = strconv.AppendInt(b, int64(left/time.Millisecond), 10)
	s := string(b)
	return Header{call.HeaderAttempt, s[:n]}, Header{call.HeaderDeadline, s[n:]}
}

// parseLoad reads "busy/slots".
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

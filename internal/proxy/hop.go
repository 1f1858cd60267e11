package proxy

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// hop is the information on a call that the entry node sends to the destination node. The time left
// in milliseconds, the class, the service and the instance are in call.HeaderHop.
type hop struct {
	left     time.Duration
	class    string
	service  string
	instance string
	// settled is set if the call was refused as pinned quarantine.MaxPinnedRefusals times, or if
	// an endpoint was unavailable. It is sent in headerSettled, for suspect requests only.
	settled bool
	// waited is the time since the caller's first attempt, including refused attempts. It is
	// sent in headerWaited.
	waited time.Duration
	// oneShot is set if the caller doesn't retry a refused call. It is sent in headerOnce.
	oneShot bool
	// noWait is set if the call must start at once or be refused as busy. It is sent in
	// headerNoWait.
	noWait bool
	// mayDecline is set if the call may also be declined as slow. It is sent in headerNoWait.
	mayDecline bool
	// newConn is set if the attempt needs a connection of its own to the backend server. It is sent
	// in headerNewConn.
	newConn bool
}

// headerNewConn marks, between nodes, an attempt that needs a connection of its own to the backend
// server.
const headerNewConn = "Marlpass-New-Connection"

var newConnValue = []string{"1"}

// headerNoWait marks, between nodes, a call that searches for a free slot.
const headerNoWait = "Marlpass-No-Wait"

// Values of headerNoWait. Entry nodes of an earlier version send noWaitValue, as they take a call that
// was declined as slow for a failed one. Destination nodes of an earlier version accept both.
var (
	noWaitValue        = []string{"1"}
	noWaitDeclineValue = []string{"2"}
)

// headerOnce marks, between nodes, a call whose caller doesn't retry a refusal.
const headerOnce = "Marlpass-Once"

var onceValue = []string{"1"}

// headerWaited is, between nodes, hop.waited in milliseconds. It is set only above minWaited.
const headerWaited = "Marlpass-Waited"

// minWaited is a few times the latency between data centres. A shorter wait has no effect on
// queueing, so that most calls need no header.
const minWaited = 10 * time.Millisecond

func setWaited(h http.Header, waited time.Duration) {
	delete(h, headerWaited)
	if waited > minWaited {
		h[headerWaited] = []string{strconv.FormatInt(waited.Milliseconds(), 10)}
	}
}

// parseWaited returns zero if the header is missing or malformed.
func parseWaited(h http.Header) time.Duration {
	value := first(h, headerWaited)
	if value == "" {
		return 0 // most calls have no such header, and a parse error allocates
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// headerSettled marks, between nodes, a suspect request that this endpoint must accept.
const headerSettled = "Marlpass-Settled"

var settledValue = []string{"1"}

// String encodes h.
func (h hop) String() string {
	b := make([]byte, 0, 64)
	b = strconv.AppendInt(b, int64(h.left/time.Millisecond), 10)
	b = append(b, ' ')
	b = append(b, escapeName(h.class)...)
	b = append(b, ' ')
	b = append(b, escapeName(h.service)...)
	b = append(b, ' ')
	b = append(b, h.instance...)
	return string(b)
}

// parseHop decodes the result of hop.String; ok is false if s is malformed.
func parseHop(s string) (h hop, ok bool) {
	ms, rest, ok1 := strings.Cut(s, " ")
	class, rest, ok2 := strings.Cut(rest, " ")
	service, instance, ok3 := strings.Cut(rest, " ")
	n, err := strconv.ParseInt(ms, 10, 64)
	class, ok4 := unescapeName(class)
	service, ok5 := unescapeName(service)
	if !ok1 || !ok2 || !ok3 || !ok4 || !ok5 || err != nil {
		return hop{}, false
	}
	// The lower bound matters too: the product of a large negative number overflows to a
	// positive duration.
	const most = int64(maxDeadline / time.Millisecond)
	n = min(max(n, -most), most)
	return hop{left: time.Duration(n) * time.Millisecond, class: class, service: service, instance: instance}, true
}

// emptyName stands for an empty name in a list separated by spaces.
const emptyName = "%"

// escapeName encodes the name of a class, a service or a workspace, which may be any text, for a list
// separated by spaces in a header. Letters, digits, '.', '_' and '-' are unchanged.
func escapeName(s string) string {
	if s == "" {
		return emptyName
	}
	return url.PathEscape(s)
}

// unescapeName decodes the result of escapeName; ok is false if s is malformed.
func unescapeName(s string) (name string, ok bool) {
	switch s {
	case "":
		return "", false
	case emptyName:
		return "", true
	}
	name, err := url.PathUnescape(s)
	return name, err == nil
}

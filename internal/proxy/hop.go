package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// hop is what the entry node tells the destination node of a call, in
// call.HeaderHop: the time left in milliseconds, the class, the service and the
// instance.
type hop struct {
	left     time.Duration
	class    string
	service  string
	instance string
	// settled says that the call was refused as pinned to another endpoint
	// often enough, or that its endpoint takes no calls. It travels in
	// headerSettled, which only suspects carry.
	settled bool
	// waited is how long ago the caller first asked, earlier sendings that were
	// refused included. It travels in headerWaited.
	waited time.Duration
	// once says that the caller will not come back when it is refused. It travels
	// in headerOnce.
	oneShot bool
	// noWait says that the call is to start now or be refused as busy. It travels
	// in headerNoWait.
	noWait bool
}

// headerNoWait marks, between nodes, a call that looks for a free slot.
const headerNoWait = "Marlpass-No-Wait"

var noWaitValue = []string{"1"}

// headerOnce marks, between nodes, a call that is lost when it is refused.
const headerOnce = "Marlpass-Once"

var onceValue = []string{"1"}

// headerWaited tells a destination how many milliseconds the caller has waited, where
// that is more than waitedLeast.
const headerWaited = "Marlpass-Waited"

// waitedLeast is a wait that decides nothing, a few ways between data centres long.
// Most calls have waited less, and need no header.
const minWaited = 10 * time.Millisecond

func setWaited(h http.Header, waited time.Duration) {
	delete(h, headerWaited)
	if waited > minWaited {
		h[headerWaited] = []string{strconv.FormatInt(waited.Milliseconds(), 10)}
	}
}

// parseWaited returns zero for a header that is not there or says nothing.
func parseWaited(h http.Header) time.Duration {
	value := first(h, headerWaited)
	if value == "" {
		return 0 // most calls have none, and an error costs an allocation
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// headerSettled marks, between nodes, a suspect that this endpoint must take.
const headerSettled = "Marlpass-Settled"

var settledValue = []string{"1"}

// String encodes h. Names hold no spaces: config.Check sees to it.
func (h hop) String() string {
	b := make([]byte, 0, 64)
	b = strconv.AppendInt(b, int64(h.left/time.Millisecond), 10)
	b = append(b, ' ')
	b = append(b, h.class...)
	b = append(b, ' ')
	b = append(b, h.service...)
	b = append(b, ' ')
	b = append(b, h.instance...)
	return string(b)
}

// parseHop decodes a hop; ok is false when s is none.
func parseHop(s string) (h hop, ok bool) {
	ms, rest, ok1 := strings.Cut(s, " ")
	class, rest, ok2 := strings.Cut(rest, " ")
	service, instance, ok3 := strings.Cut(rest, " ")
	n, err := strconv.ParseInt(ms, 10, 64)
	if !ok1 || !ok2 || !ok3 || err != nil || class == "" || service == "" {
		return hop{}, false
	}
	// Both ends: far below zero, the product overflows to a time ahead.
	const most = int64(maxDeadline / time.Millisecond)
	n = min(max(n, -most), most)
	return hop{left: time.Duration(n) * time.Millisecond, class: class, service: service, instance: instance}, true
}

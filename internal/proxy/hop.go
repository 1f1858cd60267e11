package proxy

import (
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

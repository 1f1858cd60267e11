package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/limit"
)

// leavingValue is the value of call.HeaderLeaving.
const leavingValue = "1"

// parseAdvertised reads what a backend server advertises in the native dialect.
func parseAdvertised(h http.Header) Advertised {
	return Advertised{
		Known:     true,
		RateLimit: limit.ParseAdvertisedRate(first(h, call.HeaderRateLimit)),
		Leaving:   first(h, call.HeaderLeaving) == leavingValue,
	}
}

// headerAdvertised carries between nodes what a backend server advertises. A destination node tells
// the entry nodes, and they tell it again with their next calls to that endpoint, since it may have
// restarted and lost what it knew.
const headerAdvertised = "Marlpass-Advertised"

// noRate stands for no rate limit in headerAdvertised.
const noRate = "-"

// any reports whether anything is advertised that restricts calls.
func (a Advertised) any() bool { return a.RateLimit.Present || a.Leaving }

// String encodes a as the value of headerAdvertised: the rate limit, whether it leaves, and the
// start of the incarnation.
func (a Advertised) String() string {
	rate, leaving := noRate, "0"
	if a.RateLimit.Present {
		rate = strconv.FormatFloat(a.RateLimit.PerSecond, 'g', -1, 64)
	}
	if a.Leaving {
		leaving = leavingValue
	}
	return rate + " " + leaving + " " + strconv.FormatInt(a.Started, 10)
}

// parseNodeAdvertised decodes the result of Advertised.String. Nothing is known if the header is
// missing or malformed.
func parseNodeAdvertised(h http.Header) Advertised {
	value := first(h, headerAdvertised)
	if value == "" {
		return Advertised{}
	}
	fields := strings.Split(value, " ")
	if len(fields) != 3 {
		return Advertised{}
	}
	a := Advertised{Known: true, Leaving: fields[1] == leavingValue}
	if fields[0] != noRate {
		a.RateLimit = limit.ParseAdvertisedRate(fields[0])
	}
	var err error
	if a.Started, err = strconv.ParseInt(fields[2], 10, 64); err != nil || a.RateLimit.Malformed {
		return Advertised{}
	}
	return a
}

// advertisedMemory holds what the endpoints advertise that this node has sent calls to. It is kept
// apart from the picker, which forgets an endpoint whose node restarts.
type advertisedMemory struct {
	byEndpoint sync.Map // ID to remembered
	count      atomic.Int64
}

type remembered struct {
	advertised Advertised
	value      []string // of headerAdvertised
	at         time.Time
}

// rememberFor is how long an endpoint is remembered that this node doesn't hear of any more.
const rememberFor = 10 * time.Minute

// record records what the destination node told with the result of an attempt that was sent at sent.
//
// Only an answer shows that nothing is advertised any more. A node that refuses the call may have
// restarted and know nothing.
func (m *advertisedMemory) record(now, sent time.Time, endpoint string, a *answer) {
	switch {
	case a.advertised.any():
		m.remember(now, endpoint, a.advertised)
	case a.resp != nil && m.count.Load() > 0:
		if r, ok := m.byEndpoint.Load(endpoint); ok && sent.After(r.(remembered).at) {
			m.forget(endpoint)
		}
	}
}

func (m *advertisedMemory) remember(now time.Time, endpoint string, a Advertised) {
	_, known := m.byEndpoint.Swap(endpoint, remembered{a, []string{a.String()}, now})
	if known {
		return
	}
	m.count.Add(1)
	m.byEndpoint.Range(func(other, r any) bool {
		if now.Sub(r.(remembered).at) > rememberFor {
			m.forget(other.(string))
		}
		return true
	})
}

func (m *advertisedMemory) forget(endpoint string) {
	if _, known := m.byEndpoint.LoadAndDelete(endpoint); known {
		m.count.Add(-1)
	}
}

// setHeader tells the endpoint's node what is remembered of the endpoint.
func (m *advertisedMemory) setHeader(h http.Header, endpoint string) {
	delete(h, headerAdvertised) // of the previous attempt
	if m.count.Load() == 0 {
		return
	}
	if r, ok := m.byEndpoint.Load(endpoint); ok {
		h[headerAdvertised] = r.(remembered).value
	}
}

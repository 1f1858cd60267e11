package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

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

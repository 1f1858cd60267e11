package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/limit"
)

// limitModel makes the backend servers of the model advertise rate limits: share of what each would
// get at the model's load. With all set, every one does, otherwise one in five.
func (m *model) limitRates(share float64, all bool) {
	for i, node := range m.nodes {
		if !all && i%5 != 0 {
			continue
		}
		usual := m.load * node.speed * modelSlots / modelServiceTime.Seconds()
		node.limit = limit.AdvertisedRate{PerSecond: share * usual, Present: true}
	}
}

// Guards against calls that go to backend servers with a rate limit, whose slots are free, and wait
// there or are refused while others have room: those that don't search for a free slot, since they
// have a key or a large body. Where all are limited, calls must not go round in vain.
func TestCallsAvoidLimitedBackendServers(t *testing.T) {
	for _, c := range []struct {
		share  float64 // of their use that the limits allow
		all    bool
		search bool
		loss   float64 // of the calls in time that is allowed
		spared float64 // of the offers after a call's first that must go
	}{
		{0.1, false, false, 0, 0.5}, {0.5, false, false, 0, 0.5}, {0.1, false, true, 0.01, 0}, {0.5, false, true, 0.01, 0},
		{0.1, true, true, 0, 0}, {0.5, true, true, 0, 0},
	} {
		t.Run(fmt.Sprintf("%g of their use, all %t, search %t", c.share, c.all, c.search), func(t *testing.T) {
			play := func(tell bool) (inTime, offers float64) {
				m := newModel(30, c.search)
				m.load, m.tellLimits = 0.6, tell
				m.limitRates(c.share, c.all)
				m.run()
				calls := float64(m.calls)
				t.Logf("entry nodes told %t: in time %.3f, refused %.3f after %v on average, offers a call %.2f", tell,
					float64(m.inTime)/calls, float64(m.refusals)/calls, m.refusedAfter/time.Duration(max(m.refusals, 1)), float64(m.offers)/calls)
				return float64(m.inTime) / calls, float64(m.offers) / calls
			}
			before, offersBefore := play(false)
			inTime, offers := play(true)
			if inTime < before-c.loss {
				t.Errorf("%.3f in time, %.3f where entry nodes don't know the limits", inTime, before)
			}
			if offers-1 > (1-c.spared)*(offersBefore-1) {
				t.Errorf("%.2f offers a call, %.2f where entry nodes don't know the limits", offers, offersBefore)
			}
		})
	}
}

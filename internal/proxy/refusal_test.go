package proxy

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// A destination has room again in 150 ms. Told in whole seconds, between nodes, its
// word was rounded up, and every refused caller came back a second later at the least:
// later than its class aims at, whatever the queue. And most of what a busy mesh sent
// between its data centres were the problem documents of such refusals.
func TestNodeRefusalRoundTrip(t *testing.T) {
	for _, want := range []call.Refusal{
		{Reason: call.ReasonOverloaded, RetryAfter: 150 * time.Millisecond, Detail: "the wait would be too long"},
		{Reason: call.ReasonBackend, Detail: detailDeep},
		{Reason: call.ReasonDraining},
	} {
		w := httptest.NewRecorder()
		writeNodeRefusal(w, &want)
		got := refusedByNode(w.Result().Header)
		if got == nil || *got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
		if w.Body.Len() > 0 {
			t.Errorf("%q follows a refusal that only a node reads", w.Body)
		}
	}
}

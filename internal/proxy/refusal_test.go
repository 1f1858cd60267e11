package proxy

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// Guards against refusals between nodes that round the retry time up to whole seconds, so that
// every refused caller came back at least a second later and missed its target latency; and against
// problem documents in them, which were most of the traffic between data centres under load.
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

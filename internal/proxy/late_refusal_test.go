package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
)

// refusesLate refuses every call after a while in its queue.
type lateRefusalGate struct{ after time.Duration }

func (g lateRefusalGate) Acquire(ctx context.Context, _ Backend, _ *config.Target, _ limit.AcquireOptions) (Permit, error) {
	select {
	case <-time.After(g.after):
	case <-ctx.Done():
	}
	return nil, &call.Refusal{Reason: call.ReasonDraining}
}

// An upload waits at one endpoint for a slot, for longer than net/http waits for
// "100 Continue" by default, and is then refused. The entry node had begun to send
// the body unasked: it could not be sent to the next endpoint any more, and where
// the refusal was lost with the connection, which had unread bytes, the caller was
// told "may have run" of a booking that no backend server had seen.
func TestLateRefusedUploadIsRetriedElsewhere(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		io.WriteString(w, strconv.FormatInt(n, 10))
	})
	m.dest[0].Gates = lateRefusalGate{after: 1200 * time.Millisecond}
	m.picker.next.Store(^uint64(0)) // the next pick is dest[0]
	_, body, err := m.call("POST", "/photos", strings.Repeat("x", 4*maxBufferedBody))
	if err != nil || body != strconv.Itoa(4*maxBufferedBody) {
		t.Fatalf("got %q %v", body, err)
	}
}

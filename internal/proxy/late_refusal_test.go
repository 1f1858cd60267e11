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

// lateRefusalGate refuses every call after some time in its queue.
type lateRefusalGate struct{ after time.Duration }

func (g lateRefusalGate) Acquire(ctx context.Context, _ Backend, _ *config.Target, _ limit.AcquireOptions) (Permit, error) {
	select {
	case <-time.After(g.after):
	case <-ctx.Done():
	}
	return nil, &call.Refusal{Reason: call.ReasonDraining}
}

// Guards against an upload that waits for a slot longer than net/http's default wait for "100
// Continue" and is then refused. Its body was sent unasked by then: it could not be retried, and if
// the refusal was lost with the connection, the caller got "may have run" for a call that no
// backend server received.
func TestLateRefusedUploadIsRetriedElsewhere(t *testing.T) {
	m := newMesh(t, bookings(), func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		io.WriteString(w, strconv.FormatInt(n, 10))
	})
	m.dest[0].Gates = lateRefusalGate{after: 1200 * time.Millisecond}
	m.picker.next.Store(^uint64(0)) // picks dest[0] next
	_, body, err := m.call("POST", "/photos", strings.Repeat("x", 4*maxBufferedBody))
	if err != nil || body != strconv.Itoa(4*maxBufferedBody) {
		t.Fatalf("got %q %v", body, err)
	}
}

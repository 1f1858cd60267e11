package proxy

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/retry"
)

// full is a gate without room, that counts who asks.
type full struct{ asked atomic.Int64 }

func (f *full) Acquire(context.Context, Backend, *config.Target, limit.AcquireOptions) (Permit, error) {
	f.asked.Add(1)
	return nil, refuse(call.ReasonOverloaded, time.Second, "")
}

// A service has one endpoint, which is full. Each call asked it three times, which
// put twice the overload on top of the overload; one refusal tells as much. With
// a second endpoint that has room, the call must go there.
func TestLoneFullEndpointIsAskedOnce(t *testing.T) {
	for _, lone := range []bool{true, false} {
		m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
		m.entry.Retrier = policyRetrier{retry.New(retry.Options{})}
		m.entry.Pickers = anyEndpoint{m.picker}
		m.picker.next.Store(^uint64(0))
		gate := new(full)
		m.dest[0].Gates = gate
		if lone {
			m.useOnly(0)
		}
		resp, _, err := m.call("POST", "/", "x")
		if err != nil || gate.asked.Load() != 1 {
			t.Fatalf("lone %t: asked %d times, got %v %v", lone, gate.asked.Load(), resp, err)
		}
		if ran := m.runs.Load() == 1; ran == lone {
			t.Errorf("lone %t: ran %t", lone, ran)
		}
	}
}

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

// overloadedGate refuses every call as overloaded, and counts them.
type overloadedGate struct{ acquired atomic.Int64 }

func (f *overloadedGate) Acquire(context.Context, Backend, *config.Target, limit.AcquireOptions) (Permit, error) {
	f.acquired.Add(1)
	return nil, refuse(call.ReasonOverloaded, time.Second, "")
}

// Guards against retries at the only endpoint of a service, which triple the load of an overloaded
// backend server. With a second endpoint that has room, the call must go there.
func TestOnlyEndpointIsTriedOnceWhenFull(t *testing.T) {
	for _, lone := range []bool{true, false} {
		m := newMesh(t, bookings(), func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
		m.entry.Retrier = policyRetrier{retry.New(retry.Options{})}
		m.entry.Pickers = wrapAroundPickers{m.picker}
		m.picker.next.Store(^uint64(0))
		gate := new(overloadedGate)
		m.dest[0].Gates = gate
		if lone {
			m.useOnly(0)
		}
		resp, _, err := m.call("POST", "/", "x")
		if err != nil || gate.acquired.Load() != 1 {
			t.Fatalf("lone %t: tried %d times, got %v %v", lone, gate.acquired.Load(), resp, err)
		}
		if ran := m.runs.Load() == 1; ran == lone {
			t.Errorf("lone %t: ran %t", lone, ran)
		}
	}
}

package node

import (
	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
)

// errNotHeld refuses a call for a backend server that is not on this VM. It is returned before any
// byte of the call is forwarded.
var errNotHeld = &call.Refusal{Reason: call.ReasonNotHeld}

// backends looks up the backend servers that are announced at this node.
type backends struct{ registry *announce.Registry }

// Find implements proxy.Backends.
func (b backends) Find(service, instance string) (proxy.Backend, bool) {
	for _, a := range b.registry.Load() {
		if a.Service != service {
			continue
		}
		if a.Instance == instance || (instance == "" && a.State == membership.BackendReady) {
			return backendOf(a), true
		}
	}
	return proxy.Backend{}, false
}

func backendOf(a announce.Backend) proxy.Backend {
	return proxy.Backend{
		Service:  a.Service,
		Instance: a.Instance,
		Addr:     a.Addr,
		Slots:    a.Slots,
		State:    a.State,
		Started:  a.Started,
	}
}

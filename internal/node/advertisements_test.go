package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
)

// restartedNode returns the advertisements and the registry of a node that has just started.
func restartedNode(t *testing.T, state membership.BackendState) (*advertisements, *announce.Registry, proxy.Backend) {
	t.Helper()
	now := time.Now()
	r := announce.NewRegistry(announce.Limits{TTL: time.Minute, MaxBackends: 4, AllowNonLoopback: true, NoInstanceReuse: true})
	a := announce.Announcement{Instance: "i-1", Service: "s", Slots: 6, State: state, Started: 100, Sequence: 7}
	a.Address = netip.MustParseAddrPort("10.0.0.9:80")
	if _, err := r.Put(now, a); err != nil {
		t.Fatal(err)
	}
	g := newGates()
	g.update(now, r.Load(), &program{}, func(string) int { return 1 })
	b, _ := backends{r}.Find("s", "i-1")
	return &advertisements{gates: g, registry: r, onChange: func([]announce.Change) {}, departed: func(announce.Departure) {}}, r, b
}

// Guards against a node that restarts, gets an announcement from before its backend server announced
// that it drains, and puts it back into service; and against word of another node that overrides what
// the backend server itself answered since.
func TestRestartedNodeKeepsAnnouncedDraining(t *testing.T) {
	now := time.Now()
	before, _, b := restartedNode(t, membership.BackendDraining)
	told := before.InForce(b)
	if !told.Leaving || told.Started != 100 {
		t.Fatalf("entry nodes are told %+v of a backend server that drains", told)
	}
	for _, answered := range []bool{false, true} {
		after, registry, b := restartedNode(t, membership.BackendReady)
		want := membership.BackendDraining
		if answered {
			after.Observe(now, now.Add(-time.Second), b, proxy.Advertised{Known: true})
			want = membership.BackendReady
		}
		after.Adopt(now, b, told)
		if got := registry.Load()[0].State; got != want {
			t.Errorf("answered %t: the backend server is %v, want %v", answered, got, want)
		}
	}
}

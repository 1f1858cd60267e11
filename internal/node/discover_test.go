package node_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/proxy"
)

// Guards against a restarted node that leaves its running backend server idle until the next
// heartbeat, a second or more. It has to probe it, retry while there is no answer, and do so only
// where the configuration gives a health path.
func TestRestartedNodeProbesItsBackendServer(t *testing.T) {
	var probes atomic.Int64
	advertised := proxy.Advertised{Known: true, RateLimit: limit.AdvertisedRate{PerSecond: 4.4, Present: true}}
	probe := func(_ context.Context, address, path string) (announce.Announcement, proxy.Advertised, error) {
		if path != "/well" || address != "10.0.0.9:80" {
			t.Errorf("probed %s%s", address, path)
		}
		if probes.Add(1) == 1 {
			return announce.Announcement{}, proxy.Advertised{}, errors.New("still starting")
		}
		return announce.Announcement{
			Instance: "i-1", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 6,
			State: membership.BackendReady, Sequence: 1,
		}, advertised, nil
	}
	versions, err := config.Succeed(nil, 5, []config.Object{
		config.EncodeService(config.Service{Name: service, Team: "t", HealthPath: "/well"}),
	})
	if err != nil {
		t.Fatal(err)
	}
	w := startMesh(t, 2, func(vm *localmesh.VM, o *node.Options) {
		o.Probe, o.Source = probe, &oneVersion{snap: versions}
		o.Settings.VM.Service, o.Settings.VM.Backend = service, "10.0.0.9:80"
	})
	w.must(w.WaitEndpoints(w.ctx, service, 2))
	if n := probes.Load(); n < 3 {
		t.Errorf("probed %d times", n)
	}
	w.must(w.WaitFor(w.ctx, func(n *node.Node) bool { return n.AdvertisedRate(service) == advertised.RateLimit }))
}

// oneVersion is a source with a single version.
type oneVersion struct {
	snap *config.Snapshot
	sent atomic.Bool
}

func (o *oneVersion) Next(ctx context.Context, _ time.Duration) (*config.Snapshot, error) {
	if o.sent.CompareAndSwap(false, true) {
		return o.snap, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

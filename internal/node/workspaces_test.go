package node_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
)

const yardKey = "yard-key"

// The quota in these tests, and the tolerance with which calls are counted against it.
const (
	quotaRate    = 40 // a second
	quotaBurst   = 20
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

func withQuotas(_ *localmesh.VM, o *node.Options) {
	o.Settings.Workspaces.QuotaWindow.Duration = quotaWindow
	o.Settings.Workspaces.QuotaOverage, o.Settings.Workspaces.QuotaSlack = quotaOverage, quotaSlack
}

// applyWorkspace brings a version with a workspace with one key into force on all nodes.
func (w *testMesh) applyWorkspace() {
	w.t.Helper()
	yard := config.Workspace{
		Name: "yard", Team: "ops", Keys: []config.KeyDigest{config.DigestOf(yardKey)}, RatePerSecond: quotaRate, Burst: quotaBurst,
	}
	for _, vm := range w.VMs {
		next, _, err := vm.Node().Snapshot().Next([]config.Object{config.EncodeWorkspace(yard)}, nil)
		w.must(err)
		if ok, err := vm.Node().OfferSnapshot(next); !ok {
			w.t.Fatal("the version is not in force:", err)
		}
	}
}

// callWithKey makes one call with an API key and returns the status.
func (w *testMesh) callWithKey(vm *localmesh.VM, key string) int {
	req, err := http.NewRequestWithContext(w.ctx, http.MethodGet, "http://"+vm.Node().Addrs().Callers+lookup, nil)
	if err != nil {
		w.t.Error(err)
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		w.t.Error(err)
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against a workspace that exceeds its mesh-wide quota, or gets far less than it, while it
// sends ten times the quota through three nodes. Unknown keys are refused.
func TestQuotaIsEnforcedAcrossTheMesh(t *testing.T) {
	w := startMesh(t, 3, withQuotas)
	w.hold(w.VMs[0])
	w.applyWorkspace()
	if got := w.callWithKey(w.VMs[1], "other"); got != http.StatusUnauthorized {
		t.Fatalf("an unknown key gets status %d", got)
	}
	var passed, refused atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(quotaWindow)
	for _, vm := range w.VMs {
		callers.Go(func() {
			every := time.NewTicker(3 * time.Second / (10 * quotaRate))
			defer every.Stop()
			for time.Now().Before(end) {
				switch status := w.callWithKey(vm, yardKey); status {
				case http.StatusOK:
					passed.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
				default:
					t.Errorf("status %d", status)
					return
				}
				<-every.C
			}
		})
	}
	callers.Wait()
	quota := quotaRate*quotaWindow.Seconds() + quotaBurst
	t.Logf("%d passed, %d refused, quota %.0f", passed.Load(), refused.Load(), quota)
	if got, most := float64(passed.Load()), quota*(1+quotaOverage)+quotaSlack; got > most {
		t.Errorf("%.0f calls passed in a window, %.0f allowed", got, most)
	}
	if got := float64(passed.Load()); got < quota/2 || refused.Load() == 0 {
		t.Errorf("%.0f calls passed and %d were refused, of a quota of %.0f", got, refused.Load(), quota)
	}
}

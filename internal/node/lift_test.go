package node_test

import (
	"net/http"
	"testing"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// Guards against a lift that takes effect only at the node that received it. A request that
// crashed two backend servers is quarantined in the whole mesh, and would be refused by the other
// nodes for another half hour.
func TestOperatorLiftsAQuarantine(t *testing.T) {
	y := newYard(t)
	y.state(t)
	y.startBackend(t, 0, "a")
	y.startBackend(t, 2, "b")
	if err := y.WaitEndpoints(y.ctx, "berths", 2); err != nil {
		t.Fatal(err)
	}
	y.eventually(t, "the request in quarantine at its entry node", func() bool {
		y.get(t, 1, "/berths/bad", backend.HeaderCrash, "1")
		return y.quarantined(t, 1).State == adminapi.QuarantinedRequestStateQuarantined
	})
	y.eventually(t, "the request in quarantine at the node that the operator uses", func() bool {
		return y.quarantined(t, 3).State == adminapi.QuarantinedRequestStateQuarantined
	})
	bad := y.quarantined(t, 3)
	if len(bad.Crashes) != 2 || bad.Service.Value != "berths" {
		t.Errorf("%+v", bad)
	}
	if got := y.crashes(); got != 2 {
		t.Errorf("%d crashes", got)
	}
	fp := adminapi.LiftQuarantineParams{Fingerprint: adminapi.Fingerprint(bad.Fingerprint)}
	for range 2 {
		// The second changes nothing.
		got, err := y.as(t, 3, otherToken).LiftQuarantine(y.ctx, fp)
		if err != nil || got.By != "kumari (harbour)" {
			t.Fatalf("%+v, %v", got, err)
		}
	}
	for vm := range y.VMs {
		y.eventually(t, "the lift at every node", func() bool {
			q := y.quarantined(t, vm)
			return q.State == adminapi.QuarantinedRequestStateLifted && q.By.Value == "kumari (harbour)"
		})
	}
	// Without the crash header the request is the same but crashes nothing.
	y.eventually(t, "an answer to the request", func() bool {
		return y.get(t, 1, "/berths/bad") == http.StatusOK
	})
	none := adminapi.LiftQuarantineParams{Fingerprint: "00000000000000000000000000000000"}
	if _, err := y.admin(t, 0).LiftQuarantine(y.ctx, none); status(err) != http.StatusNotFound {
		t.Errorf("a request that is not in quarantine: %v", err)
	}
}

// Guards against a quarantine that returns after the node that lifted it has left. The nodes of
// the crashed backend servers updated the notices in their records only at the next crash, and
// kept publishing the quarantine; a node that started later quarantined the request again.
func TestLiftOutlivesTheNodeThatReceivedIt(t *testing.T) {
	y := newYard(t)
	y.state(t)
	y.startBackend(t, 0, "a")
	y.startBackend(t, 2, "b")
	if err := y.WaitEndpoints(y.ctx, "berths", 2); err != nil {
		t.Fatal(err)
	}
	y.eventually(t, "the request in quarantine", func() bool {
		y.get(t, 1, "/berths/bad", backend.HeaderCrash, "1")
		return y.quarantined(t, 1).State == adminapi.QuarantinedRequestStateQuarantined
	})
	fp := adminapi.Fingerprint(y.quarantined(t, 1).Fingerprint)
	if _, err := y.admin(t, 1).LiftQuarantine(y.ctx, adminapi.LiftQuarantineParams{Fingerprint: fp}); err != nil {
		t.Fatal(err)
	}
	for _, vm := range []int{0, 2} {
		y.eventually(t, "the lift at the nodes of the backend servers", func() bool {
			return y.quarantined(t, vm).State == adminapi.QuarantinedRequestStateLifted
		})
	}
	y.VMs[1].Kill()
	y.VMs[3].Kill()
	if err := y.StartNode(y.VMs[3]); err != nil {
		t.Fatal(err)
	}
	y.eventually(t, "the lift at a node that started later", func() bool {
		return y.quarantined(t, 3).State == adminapi.QuarantinedRequestStateLifted
	})
}

// quarantined returns the first request in the quarantine list of a VM's node, or a zero value.
func (y *yard) quarantined(t *testing.T, vm int) adminapi.QuarantinedRequest {
	t.Helper()
	l, err := y.admin(t, vm).ListQuarantine(y.ctx)
	if err != nil || len(l.Requests) == 0 {
		return adminapi.QuarantinedRequest{}
	}
	return l.Requests[0]
}

func (y *yard) crashes() int64 {
	var n int64
	for _, vm := range y.VMs {
		for _, b := range vm.Backends() {
			n += b.Crashes()
		}
	}
	return n
}

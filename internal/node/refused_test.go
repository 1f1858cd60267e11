package node_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
)

// During a rolling upgrade an operator states a target with a field that only
// newer nodes know. An older node can verify the version and pass it on, but it
// must not run it without that field: it keeps the version it runs, whole, and
// every other node has to learn of the refusal, or the next shift would see a
// node that is merely behind.
func TestARefusedVersionIsKeptOutAndTold(t *testing.T) {
	m, err := localmesh.Start(localmesh.Options{
		Name: "refusing", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{{Name: "neg-shed", Region: "western", VMs: 3}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	stateLookups(ctx, t, m)

	before := m.VMs[0].Node().Snapshot()
	newer := config.Object{
		Key: config.Key{Kind: config.KindTarget, Name: "lookups"},
		Raw: []byte(`{"name":"lookups","team":"yard","service":"berths","match":{"path_prefix":"/berths"},"hedge":true}`),
	}
	_, delta, err := before.Next([]config.Object{newer}, nil)
	if err != nil {
		t.Fatal(err)
	}
	m.VMs[0].Node().AcceptVersion(delta)
	told := func(n *node.Node) bool {
		for _, vm := range m.VMs {
			version, reason := n.ObservedRefusal(vm.ID)
			if version != delta.To.Number || !strings.Contains(reason, "hedge") {
				return false
			}
		}
		return true
	}
	if err := m.WaitFor(ctx, told); err != nil {
		t.Fatal("not every node learned of every refusal:", err)
	}
	for _, vm := range m.VMs {
		if got := vm.Node().Version(); got != before.Version() {
			t.Errorf("%s runs %s, want %s", vm.ID, got, before.Version())
		}
	}
}

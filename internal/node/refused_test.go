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

// Guards against a node that runs a version with a field it does not know, as during a rolling
// upgrade. It must keep the version in force and pass on the new one, and every other node must
// receive the refusal; otherwise the node would only look behind.
func TestRefusedVersionIsNotAppliedAndIsReported(t *testing.T) {
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
	reported := func(n *node.Node) bool {
		for _, vm := range m.VMs {
			version, reason := n.ObservedRefusal(vm.ID)
			if version != delta.To.Number || !strings.Contains(reason, "hedge") {
				return false
			}
		}
		return true
	}
	if err := m.WaitFor(ctx, reported); err != nil {
		t.Fatal("not every node received every refusal:", err)
	}
	for _, vm := range m.VMs {
		if got := vm.Node().Version(); got != before.Version() {
			t.Errorf("%s runs %s, want %s", vm.ID, got, before.Version())
		}
	}
}

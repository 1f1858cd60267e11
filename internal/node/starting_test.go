package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/settings/strict"
)

// Guards against a command accepted by a node that has not reached any peer: it would not notice
// that the platform's table was wiped or restored from a backup, so it refuses.
func TestStartingNodeRefusesCommands(t *testing.T) {
	m, err := localmesh.Start(localmesh.Options{
		Name: "starting", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{{Name: "neg-shed", Region: "western", VMs: 1}},
		Node: func(_ *localmesh.VM, o *node.Options) {
			o.Settings.Peers.AloneAfter = strict.Duration{Duration: time.Hour}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer m.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	res := m.VMs[0].Node().Submit(ctx, command.Command{
		ID: "first", Operator: "o", Team: "yard",
		Set: []config.Object{config.EncodeService(config.Service{Name: "berths", Team: "yard"})},
	})
	if res.Outcome != command.Refused || res.Reason != command.ReasonUnavailable {
		t.Errorf("%+v", res)
	}
}

package node

import (
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/peer"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/telemetry"

	"github.com/VictoriaMetrics/metrics"
)

// Check returns what New would refuse in settings that are valid in themselves, without opening a
// socket: certificates that cannot be used now, and duplicate operator tokens. Its errors are
// settings problems.
func Check(s settings.Node) error {
	if _, err := newTrust(s, zerolog.Nop(), peer.NewMetrics(metrics.NewSet())); err != nil {
		return err
	}
	_, err := admin.NewOperators(operatorSettings(s))
	return err
}

func operatorSettings(s settings.Node) []admin.OperatorSetting {
	out := make([]admin.OperatorSetting, 0, len(s.Operators))
	for _, o := range s.Operators {
		out = append(out, admin.OperatorSetting{
			Name: o.Name, Team: o.Team, TokenSHA256: o.TokenSHA256, ReadOnly: o.ReadOnly,
		})
	}
	return out
}

// Reload takes the operators from s and checks at once for changed certificates. All other
// settings keep their running values; the log names those that differ. After an error nothing has
// changed. The owner of the logger applies the log level.
func (n *Node) Reload(s settings.Node) error {
	if err := n.operators.Replace(operatorSettings(s)); err != nil {
		return err
	}
	n.control.trust.poll()
	log := telemetry.Part(n.log, "settings")
	for _, key := range settings.NeedRestart(n.set, s) {
		log.Warn().Str("key", key).Msg("settings: differs from the running value, which stays until a restart")
	}
	log.Info().Int("operators", len(s.Operators)).Msg("settings: read again")
	return nil
}

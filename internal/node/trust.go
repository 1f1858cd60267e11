package node

import (
	"context"
	"crypto/tls"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/peer"
	"github.com/marlpass/marlpass/internal/proxy"
	"github.com/marlpass/marlpass/internal/settings"
	"github.com/marlpass/marlpass/internal/telemetry"
	"github.com/marlpass/marlpass/internal/trust"
)

// trustFiles holds the certificates of a node. Either may be nil, which means
// plain text.
type trustFiles struct{ mesh, operators *trust.Keeper }

func newTrust(s settings.Node, log zerolog.Logger, m *peer.Metrics) (*trustFiles, error) {
	out := new(trustFiles)
	var err error
	if s.TLS.Cert != "" {
		out.mesh, err = trust.New(trust.Options{
			Files:     trust.Files{CA: s.TLS.CA, Cert: s.TLS.Cert, Key: s.TLS.Key},
			Self:      &trust.Identity{Mesh: s.Mesh, VM: s.VM.ID},
			Log:       log,
			OnRefused: m.Refused,
		})
		if err != nil {
			return nil, err
		}
	}
	if s.TLS.AdminCert != "" {
		out.operators, err = trust.New(trust.Options{
			Files: trust.Files{Cert: s.TLS.AdminCert, Key: s.TLS.AdminKey},
			Log:   log,
		})
	}
	return out, err
}

// warnPlainText names the listeners that certificates should protect and do not.
// It is no error: a network may be private, or encrypted below TCP.
func warnPlainText(log zerolog.Logger, s settings.Node) {
	log = telemetry.Part(log, "trust")
	for _, key := range s.PlainText() {
		log.Warn().Str("key", key).
			Msg("trust: plain text on an address that is not loopback; others on the network can read and forge what goes over it")
	}
}

// server returns the configuration for connections that other nodes open.
func (t *trustFiles) server() *tls.Config {
	if t.mesh == nil {
		return nil
	}
	return t.mesh.Server()
}

// client returns the configuration for connections to other nodes.
func (t *trustFiles) client() *tls.Config {
	if t.mesh == nil {
		return nil
	}
	return t.mesh.Client()
}

// secure returns what proves other nodes on connections for calls.
func (t *trustFiles) secure() proxy.Handshake {
	if t.mesh == nil {
		return nil
	}
	return t.mesh.Connector().Connect
}

// admin returns the configuration of the admin API.
func (t *trustFiles) admin() *tls.Config {
	if t.operators == nil {
		return nil
	}
	return t.operators.Server()
}

// keepers returns the certificates that there are, by name.
func (t *trustFiles) keepers() map[string]*trust.Keeper {
	out := make(map[string]*trust.Keeper)
	if t.mesh != nil {
		out["mesh"] = t.mesh
	}
	if t.operators != nil {
		out["admin"] = t.operators
	}
	return out
}

// watch reloads certificates that change.
func (t *trustFiles) watch(p *parts) {
	for name, k := range t.keepers() {
		p.run("certificate "+name, func(ctx context.Context) error { k.Watch(ctx); return nil })
	}
}

// poll looks at once whether certificates changed.
func (t *trustFiles) poll() {
	for _, k := range t.keepers() {
		k.Poll()
	}
}

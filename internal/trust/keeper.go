package trust

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// PollEvery is how often Watch looks whether the files changed.
const PollEvery = 10 * time.Second

// sessions is how many TLS sessions a client remembers. A resumed session
// spares the certificates, which are most of a handshake's bytes.
const sessions = 2048

// Options are what a Keeper works with.
type Options struct {
	Files Files
	// Self is the node's identity; with it the certificate must be good for
	// connections between nodes. It is nil for the admin API.
	Self *Identity
	Log  zerolog.Logger
	// OnRefused is told of each peer that was refused; it may be nil.
	OnRefused func(*RefusedError)
	// Now is time.Now unless a test sets it.
	Now func() time.Time
}

// Keeper holds a certificate and reads it again when its files change.
type Keeper struct {
	opts    Options
	current atomic.Pointer[state]

	mu   sync.Mutex // serialises Poll
	seen string     // the files' signature at the last attempt
	// failed says that the attempt failed.
	failed bool
}

// state is one certificate and the configurations made from it. The server's
// session tickets live in its configuration, so they end with the certificate.
type state struct {
	material *material
	server   *tls.Config
}

// New reads the files. A certificate that cannot be used now is an error: a
// node must not start with one.
func New(o Options) (*Keeper, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	k := &Keeper{opts: o}
	if err := k.reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Watch polls the files until ctx ends.
func (k *Keeper) Watch(ctx context.Context) {
	t := time.NewTicker(PollEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.Poll()
		}
	}
}

// Poll reads the files again if they changed or could not be used the last time.
// When they cannot be used, it keeps what is running, and logs why once for each
// change of the files.
//
// Files that did not change are tried again for the sake of a certificate that
// is not valid yet: nobody writes it anew when its time comes.
func (k *Keeper) Poll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.opts.Files.signature() != k.seen
	if !changed && !k.failed {
		return
	}
	err := k.reload()
	k.failed = err != nil
	switch {
	case err != nil && !changed:
		return // told already
	case err != nil:
		k.opts.Log.Error().Err(err).Time("running_until", k.Expires()).
			Msg("trust: refuse the new certificate, keep the running one")
		return
	}
	k.opts.Log.Info().Time("valid_until", k.Expires()).Msg("trust: certificate reloaded")
}

func (k *Keeper) reload() error {
	// The signature is taken first: files that change while they are read are
	// then read once more.
	k.seen = k.opts.Files.signature()
	now := k.opts.Now()
	m, err := k.opts.Files.load(now)
	if err != nil {
		return err
	}
	if k.opts.Self != nil {
		if err := k.opts.Files.checkNode(m, *k.opts.Self, now); err != nil {
			return err
		}
	}
	k.current.Store(&state{material: m, server: k.serverConfig(m)})
	return nil
}

// Expires returns when the running certificate expires.
func (k *Keeper) Expires() time.Time { return k.current.Load().material.leaf.NotAfter }

// Server returns the configuration of a listener. For nodes it demands a
// certificate of the same mesh from every client.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.current.Load().server, nil
		},
	}
}

func (k *Keeper) serverConfig(m *material) *tls.Config {
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{m.pair}}
	if k.opts.Self == nil {
		return c
	}
	// Asked for here and checked whole in VerifyConnection, which unlike the
	// library's own check also says why, and runs for resumed sessions too.
	c.ClientAuth = tls.RequestClientCert
	c.VerifyConnection = k.verifier(x509.ExtKeyUsageClientAuth)
	return c
}

// Client returns the configuration with which a node connects to other nodes.
func (k *Keeper) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The library would check a host name, which node certificates do not
		// have. VerifyConnection checks the chain, the time and the mesh.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifier(x509.ExtKeyUsageServerAuth),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().material.pair, nil
		},
		ClientSessionCache: tls.NewLRUClientSessionCache(sessions),
	}
}

func (k *Keeper) verifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		roots := k.current.Load().material.roots
		err := verify(cs.PeerCertificates, roots, usage, k.opts.Self.Mesh, k.opts.Now())
		if refused, ok := err.(*RefusedError); ok {
			k.refused(refused)
		}
		return err
	}
}

func (k *Keeper) refused(e *RefusedError) {
	if k.opts.OnRefused != nil {
		k.opts.OnRefused(e)
	}
}

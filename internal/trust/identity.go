package trust

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/url"
	"strings"
	"time"
)

// Scheme is the scheme of the URI name in a node's certificate.
const Scheme = "marlpass"

// Identity is who a certificate speaks for.
type Identity struct{ Mesh, VM string }

// URI returns the URI name that a certificate carries for the identity.
func (i Identity) URI() *url.URL {
	return &url.URL{Scheme: Scheme, Host: i.Mesh, Path: "/vm/" + i.VM}
}

// Reason says why a peer was refused.
type Reason string

// Reasons for refusing a peer.
const (
	ReasonNoCertificate Reason = "no_certificate"
	ReasonExpired       Reason = "expired"
	ReasonUntrusted     Reason = "untrusted"
	ReasonNoIdentity    Reason = "no_identity"
	ReasonOtherMesh     Reason = "other_mesh"
	// ReasonOtherVM: another VM of the mesh answered at the address of the one
	// that was wanted.
	ReasonOtherVM Reason = "other_vm"
)

// Reasons lists every Reason, for metrics.
var Reasons = []Reason{
	ReasonNoCertificate, ReasonExpired, ReasonUntrusted, ReasonNoIdentity, ReasonOtherMesh,
	ReasonOtherVM,
}

// RefusedError tells that a peer was not let in.
type RefusedError struct {
	Reason Reason
	Detail string
}

func (e *RefusedError) Error() string {
	return "trust: peer refused: " + string(e.Reason) + ": " + e.Detail
}

// IdentityOf reads the identity in a certificate.
func IdentityOf(c *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, u := range c.URIs {
		if u.Scheme != Scheme {
			continue
		}
		vm, ok := strings.CutPrefix(u.Path, "/vm/")
		if !ok || vm == "" || strings.Contains(vm, "/") || u.Host == "" {
			continue
		}
		found = append(found, Identity{Mesh: u.Host, VM: vm})
	}
	if len(found) != 1 {
		return Identity{}, &RefusedError{ReasonNoIdentity, "the certificate needs exactly one name " + Scheme + "://MESH/vm/ID"}
	}
	return found[0], nil
}

// PeerOf returns the identity of the peer of a verified connection.
func PeerOf(cs *tls.ConnectionState) (Identity, error) {
	if cs == nil || len(cs.PeerCertificates) == 0 {
		return Identity{}, &RefusedError{ReasonNoCertificate, "the connection has no client certificate"}
	}
	return IdentityOf(cs.PeerCertificates[0])
}

// verify checks a peer's certificates whole: chain, time, usage and mesh.
func verify(certs []*x509.Certificate, roots *x509.CertPool, usage x509.ExtKeyUsage, mesh string, now time.Time) error {
	if len(certs) == 0 {
		return &RefusedError{ReasonNoCertificate, "the peer sent no certificate"}
	}
	between := x509.NewCertPool()
	for _, c := range certs[1:] {
		between.AddCert(c)
	}
	_, err := certs[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: between, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return &RefusedError{reasonOf(err), err.Error()}
	}
	id, err := IdentityOf(certs[0])
	if err != nil {
		return err
	}
	if id.Mesh != mesh {
		return &RefusedError{ReasonOtherMesh, "the certificate is for mesh " + id.Mesh}
	}
	return nil
}

func reasonOf(err error) Reason {
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		return ReasonExpired
	}
	return ReasonUntrusted
}

package trust

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"
)

// Files names the PEM files of one certificate. CA is empty for a listener
// that asks its clients for no certificate.
type Files struct{ CA, Cert, Key string }

// FileError tells in one line which file cannot be used, and why.
type FileError struct {
	File   string
	Reason string
}

func (e *FileError) Error() string { return "trust: " + e.File + ": " + e.Reason }

// material is what was read from the files at one time.
type material struct {
	pair  tls.Certificate
	leaf  *x509.Certificate
	roots *x509.CertPool
}

// load reads the files and checks that they can be used now.
func (f Files) load(now time.Time) (*material, error) {
	pair, err := f.loadPair()
	if err != nil {
		return nil, err
	}
	m := &material{pair: pair, leaf: pair.Leaf}
	if now.After(m.leaf.NotAfter) {
		return nil, &FileError{f.Cert, "the certificate expired at " + m.leaf.NotAfter.UTC().Format(time.RFC3339)}
	}
	if now.Before(m.leaf.NotBefore) {
		return nil, &FileError{f.Cert, "the certificate is not valid before " + m.leaf.NotBefore.UTC().Format(time.RFC3339)}
	}
	if f.CA == "" {
		return m, nil
	}
	ca, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, &FileError{f.CA, err.Error()}
	}
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(ca) {
		return nil, &FileError{f.CA, "no certificate in PEM form"}
	}
	return m, nil
}

func (f Files) loadPair() (tls.Certificate, error) {
	cert, err := os.ReadFile(f.Cert)
	if err != nil {
		return tls.Certificate{}, &FileError{f.Cert, err.Error()}
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return tls.Certificate{}, &FileError{f.Key, err.Error()}
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return pair, &FileError{f.Cert, err.Error() + " (key file " + f.Key + ")"}
	}
	return pair, nil
}

// checkNode checks that the certificate is good for a node of the mesh.
func (f Files) checkNode(m *material, self Identity, now time.Time) error {
	chain := []*x509.Certificate{m.leaf}
	for _, raw := range m.pair.Certificate[1:] {
		c, err := x509.ParseCertificate(raw)
		if err != nil {
			return &FileError{f.Cert, err.Error()}
		}
		chain = append(chain, c)
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		if err := verify(chain, m.roots, usage, self.Mesh, now); err != nil {
			return &FileError{f.Cert, err.Error()}
		}
	}
	id, err := IdentityOf(m.leaf)
	if err != nil {
		return &FileError{f.Cert, err.Error()}
	}
	if id != self {
		return &FileError{f.Cert, fmt.Sprintf("the certificate is for %s, and this is VM %s", id.URI(), self.VM)}
	}
	return nil
}

// signature tells whether the files changed, without reading them.
func (f Files) signature() string {
	var s string
	for _, name := range []string{f.CA, f.Cert, f.Key} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			s += "?" // absent now: a change when it comes back
			continue
		}
		s += fmt.Sprintf("%d/%d;", info.ModTime().UnixNano(), info.Size())
	}
	return s
}

// Package trusttest makes certificates in memory for tests.
package trusttest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/trust"
)

// CA is a certificate authority.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	t    testing.TB
	next int64
}

// Leaf says what to put into a certificate. Zero times mean valid from an hour
// ago for a day.
type Leaf struct {
	ID        trust.Identity
	NotBefore time.Time
	NotAfter  time.Time
}

// NewCA returns a new authority.
func NewCA(t testing.TB) *CA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	check(t, err)
	cert, err := x509.ParseCertificate(raw)
	check(t, err)
	return &CA{cert: cert, key: key, t: t, next: 2}
}

// Write issues a certificate and writes its files into dir.
func (c *CA) Write(dir string, l Leaf) trust.Files {
	c.t.Helper()
	if l.NotBefore.IsZero() {
		l.NotBefore = time.Now().Add(-time.Hour)
	}
	if l.NotAfter.IsZero() {
		l.NotAfter = time.Now().Add(24 * time.Hour)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	check(c.t, err)
	c.next++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(c.next), Subject: pkix.Name{CommonName: l.ID.VM},
		NotBefore: l.NotBefore, NotAfter: l.NotAfter,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	if l.ID.VM != "" {
		template.URIs = []*url.URL{l.ID.URI()}
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, c.cert, &key.PublicKey, c.key)
	check(c.t, err)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	check(c.t, err)
	f := trust.Files{
		CA:   filepath.Join(dir, "ca.pem"),
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
	}
	write(c.t, f.CA, "CERTIFICATE", c.cert.Raw)
	write(c.t, f.Cert, "CERTIFICATE", raw)
	write(c.t, f.Key, "PRIVATE KEY", der)
	return f
}

func write(t testing.TB, file, kind string, der []byte) {
	t.Helper()
	check(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

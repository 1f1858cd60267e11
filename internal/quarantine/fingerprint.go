package quarantine

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// FingerprintBodyBytes is how much of a body the fingerprint covers. Bodies are streamed, so only
// the part read before the request is forwarded can be covered.
const FingerprintBodyBytes = 4096

// Fingerprint identifies a request across resends.
type Fingerprint [16]byte

// coveredHeaders affect how a backend server handles a request and stay the same when a caller
// sends it again. Credentials, cookies, idempotency keys and request IDs are left out: the same bad
// request comes from several callers, with a new ID each time.
var coveredHeaders = [...]string{
	"Accept", "Accept-Encoding", "Accept-Language", "Content-Encoding", "Content-Type", "Range",
}

// upperHalfSeed is the hash seed of the fingerprint's second half.
const upperHalfSeed = 0x6d61726c70617373

// NewFingerprint returns the fingerprint of a request. length is the body length, or -1 if unknown.
// head is the beginning of the body, of which at most FingerprintBodyBytes count.
func NewFingerprint(method, host, path, query string, h http.Header, length int64, head []byte) Fingerprint {
	var stack [512]byte
	b := appendParts(stack[:0], method, namedHost(host), path, query)
	for _, name := range coveredHeaders {
		b = appendParts(b, h[name]...)
		b = append(b, 0xff)
	}
	b = strconv.AppendInt(b, length, 10)
	head = head[:min(len(head), FingerprintBodyBytes)]
	var f Fingerprint
	binary.BigEndian.PutUint64(f[:8], hash(0, b, head))
	binary.BigEndian.PutUint64(f[8:], hash(upperHalfSeed, b, head))
	return f
}

// namedHost returns the host if it is a name, or "" if it is an address.
//
// Callers that reach entry nodes by address send that address as the host. If it counted, a bad
// request resent through another entry node would get another fingerprint: each node would see its
// first crash, and none the second.
func namedHost(host string) string {
	if host == "" || !maybeAddress(host) {
		return host
	}
	bare := host
	if h, _, err := net.SplitHostPort(host); err == nil {
		bare = h
	}
	bare = strings.TrimSuffix(strings.TrimPrefix(bare, "["), "]")
	if _, err := netip.ParseAddr(bare); err == nil {
		return ""
	}
	return host
}

// maybeAddress is a cheap check that excludes most names: an address begins with a digit, or with a
// bracket in IPv6.
func maybeAddress(host string) bool {
	return host[0] == '[' || '0' <= host[0] && host[0] <= '9'
}

func appendParts(b []byte, parts ...string) []byte {
	for _, p := range parts {
		b = append(b, p...)
		b = append(b, 0)
	}
	return b
}

func hash(seed uint64, meta, head []byte) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.Write(meta)
	_, _ = d.Write(head)
	return d.Sum64()
}

// Key returns a number for selecting the endpoint that runs the request when it is a suspect.
func (f Fingerprint) Key() uint64 { return binary.BigEndian.Uint64(f[:8]) }

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ErrFingerprint means that a string is not a valid fingerprint.
var ErrFingerprint = errors.New("not a fingerprint of 32 hexadecimal digits")

// ParseFingerprint parses the output of Fingerprint.String. The error is ErrFingerprint.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, ErrFingerprint
	}
	copy(f[:], b)
	return f, nil
}

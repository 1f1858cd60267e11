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

// FingerprintBodyBytes is how much of a body the fingerprint covers. A body streams, so
// the fingerprint can only cover what is read before the request is sent on.
const FingerprintBodyBytes = 4096

// Fingerprint stands for a request and its resends.
type Fingerprint [16]byte

// coveredHeaders change what a backend server does with a request and stay the
// same when a caller sends it again. Credentials, cookies, idempotency keys and
// identities of a request are left out: the same bad request comes from several
// callers, and with a new identity each time.
var coveredHeaders = [...]string{
	"Accept", "Accept-Encoding", "Accept-Language", "Content-Encoding", "Content-Type", "Range",
}

// second is the seed that makes the upper half of a fingerprint.
const second = 0x6d61726c70617373

// NewFingerprint returns the fingerprint of a request. length is that of the body, or -1
// when not known; head is the body's beginning, of which at most FingerprintBodyBytes
// count.
func NewFingerprint(method, host, path, query string, h http.Header, length int64, head []byte) Fingerprint {
	var stack [512]byte
	b := appendParts(stack[:0], method, nameOf(host), path, query)
	for _, name := range coveredHeaders {
		b = appendParts(b, h[name]...)
		b = append(b, 0xff)
	}
	b = strconv.AppendInt(b, length, 10)
	head = head[:min(len(head), FingerprintBodyBytes)]
	var f Fingerprint
	binary.BigEndian.PutUint64(f[:8], hash(0, b, head))
	binary.BigEndian.PutUint64(f[8:], hash(second, b, head))
	return f
}

// nameOf returns the host that a request names, or nothing if it is an address.
//
// It guards against one request looking like many. A caller that reaches entry
// nodes by their addresses sends the address of the one it chose as the host,
// and a bad request that it sends again through another node would start with a
// clean record there: each node would learn of one crash, and none of two.
func nameOf(host string) string {
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

// maybeAddress tells most names from addresses at no cost: an address begins
// with a digit, or in IPv6 with a bracket.
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

// Key returns a number for choosing the endpoint that runs the request when it
// is a suspect.
func (f Fingerprint) Key() uint64 { return binary.BigEndian.Uint64(f[:8]) }

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ErrFingerprint means that a text is no fingerprint.
var ErrFingerprint = errors.New("not a fingerprint of 32 hexadecimal digits")

// ParseFingerprint reads what String wrote.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(f) {
		return f, ErrFingerprint
	}
	copy(f[:], b)
	return f, nil
}

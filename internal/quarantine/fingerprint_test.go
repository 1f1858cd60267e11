package quarantine

import "testing"

// A caller reaches entry nodes by their addresses. Its request crashes a backend
// server, and it sends the request again to another entry node, so with another
// Host. The second crash was taken for the first of a new request, and all
// backend servers went down one after the other.
func TestFingerprintIsThatOfTheRequestNotOfTheEntryNode(t *testing.T) {
	of := func(host string) Fingerprint { return NewFingerprint("GET", host, "/poison", "", nil, 0, nil) }
	one := of("10.0.0.1:8080")
	for _, host := range []string{"10.0.0.2:8080", "10.0.0.1:9090", "10.9.9.9", "[2001:db8::1]:8080", "[2001:db8::2]", ""} {
		if of(host) != one {
			t.Errorf("host %q makes another request", host)
		}
	}
	if of("berths.example") == of("surveys.example") {
		t.Error("two named hosts make one request")
	}
	if of("1berths.example:80") == one || of("10.0.0.1.example") == one {
		t.Error("a name that begins with a digit is taken for an address")
	}
}

package quarantine

import "testing"

// A caller that reaches entry nodes by address sends the request that crashed a backend server to
// another entry node, with another Host. If that changed the fingerprint, the second crash would
// count as the first of a new request, and backend servers would go down one after another.
func TestFingerprintIgnoresEntryNodeAddress(t *testing.T) {
	of := func(host string) Fingerprint { return NewFingerprint("GET", host, "/poison", "", nil, 0, nil) }
	one := of("10.0.0.1:8080")
	for _, host := range []string{"10.0.0.2:8080", "10.0.0.1:9090", "10.9.9.9", "[2001:db8::1]:8080", "[2001:db8::2]", ""} {
		if of(host) != one {
			t.Errorf("host %q changes the fingerprint", host)
		}
	}
	if of("berths.example") == of("surveys.example") {
		t.Error("two host names give the same fingerprint")
	}
	if of("1berths.example:80") == one || of("10.0.0.1.example") == one {
		t.Error("a name that begins with a digit is treated as an address")
	}
}

package trust_test

import (
	"crypto/x509"
	"net/url"
	"testing"

	"github.com/marlpass/marlpass/internal/trust"
)

// A name that is read in two ways would let one VM pass for another.
func FuzzIdentityOf(f *testing.F) {
	for _, s := range []string{
		"marlpass://north/vm/vm-1", "marlpass://north/vm/", "marlpass:///vm/vm-1", "marlpass:north/vm/a",
		"marlpass://north/vm/a%2Fb", "marlpass://x@north/vm/a", "marlpass://north/vm/a?b#c", "https://north/vm/a",
	} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := identityIn(s)
		if err != nil {
			return
		}
		again, err := identityIn(id.URI().String())
		if err != nil || again != id {
			t.Fatalf("%q: %+v became %+v, %v", s, id, again, err)
		}
	})
}

func identityIn(uri string) (trust.Identity, error) {
	u, err := url.Parse(uri)
	if err != nil {
		return trust.Identity{}, err
	}
	return trust.IdentityOf(&x509.Certificate{URIs: []*url.URL{u}})
}

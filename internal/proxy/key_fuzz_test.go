package proxy

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against an API key that reaches a backend server because the caller's header is malformed:
// credentials of the scheme are removed and returned without surrounding spaces.
func FuzzTakeCredentials(f *testing.F) {
	for _, value := range []string{"Bearer key", "bearer  key ", "Bearer", "Basic key", "", " Bearer key", "Bearer\tkey", "BEARER a b"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		h := http.Header{headerAuthorization: {value}}
		key := TakeCredentials(h, keyScheme, true)
		given, _, _ := strings.Cut(value, " ")
		_, kept := h[headerAuthorization]
		if kept == strings.EqualFold(given, keyScheme) {
			t.Errorf("%q: kept %v", value, kept)
		}
		if key != strings.TrimSpace(key) || key != "" && kept {
			t.Errorf("%q: took %q, kept %v", value, key, kept)
		}
	})
}

package proxy

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against a key that reaches a backend server, whatever the caller's header looks like:
// credentials of the scheme are taken out and hold no space around them.
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

package node_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
)

// gate stands on the way from one node to the platform.
type gate struct {
	url  string
	down atomic.Bool
	// lose is the id of a command whose commit takes effect and whose answer is
	// lost; onLost is called in between.
	lose   atomic.Pointer[string]
	onLost func()
}

func newGate(t *testing.T, platform string) *gate {
	t.Helper()
	u, err := url.Parse(platform)
	if err != nil {
		t.Fatal(err)
	}
	g := new(gate)
	proxy := httputil.NewSingleHostReverseProxy(u)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.down.Load() {
			panic(http.ErrAbortHandler)
		}
		if g.loses(r) {
			proxy.ServeHTTP(httptest.NewRecorder(), r)
			g.onLost()
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	g.url = s.URL
	return g
}

// loses reports whether r is the commit whose answer is to be lost.
func (g *gate) loses(r *http.Request) bool {
	id := g.lose.Load()
	if id == nil || r.Method != http.MethodPost {
		return false
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil && bytes.Contains(body, []byte(*id)) && g.lose.CompareAndSwap(id, nil)
}

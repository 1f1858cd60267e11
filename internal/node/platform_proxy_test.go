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

// platformProxy is a proxy between one node and the platform that can inject failures.
type platformProxy struct {
	url  string
	down atomic.Bool
	// dropAnswerOf is the id of a command whose commit takes effect and whose answer is
	// dropped; onDropped is called in between.
	dropAnswerOf atomic.Pointer[string]
	onDropped    func()
}

func newPlatformProxy(t *testing.T, platform string) *platformProxy {
	t.Helper()
	u, err := url.Parse(platform)
	if err != nil {
		t.Fatal(err)
	}
	g := new(platformProxy)
	proxy := httputil.NewSingleHostReverseProxy(u)
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.down.Load() {
			panic(http.ErrAbortHandler)
		}
		if g.dropsAnswer(r) {
			proxy.ServeHTTP(httptest.NewRecorder(), r)
			g.onDropped()
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	g.url = s.URL
	return g
}

// dropsAnswer reports whether r is the commit whose answer is to be dropped, and does so once.
func (g *platformProxy) dropsAnswer(r *http.Request) bool {
	id := g.dropAnswerOf.Load()
	if id == nil || r.Method != http.MethodPost {
		return false
	}
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil && bytes.Contains(body, []byte(*id)) && g.dropAnswerOf.CompareAndSwap(id, nil)
}

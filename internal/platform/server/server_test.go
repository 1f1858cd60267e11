package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/fake"
)

// A node dies while it uploads a snapshot: the body ends half way. Half an
// object must not be stored under the name of the whole.
func TestBodyCutShortIsNotStored(t *testing.T) {
	store := fake.New()
	s := httptest.NewServer(New(store))
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "PUT /v1/object?name=snapshot/a HTTP/1.1\r\nHost: p\r\nContent-Type: application/octet-stream\r\nContent-Length: 100\r\n\r\nhalf")
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// The answer ends when the server is done with the request.
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if strings.HasPrefix(string(answer), "HTTP/1.1 2") {
		t.Errorf("answered %q", answer)
	}
	if _, err := store.Objects().Get(t.Context(), "snapshot/a"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("the object: %v", err)
	}
}

func TestRefusalsSayThatNothingWasDone(t *testing.T) {
	handler := New(fake.New())
	tests := []struct {
		name, method, path, kind string
		body                     []byte
		status                   int
	}{
		{"object too large", "PUT", "/v1/object?name=a", "application/octet-stream", make([]byte, MaxObject+1), 413},
		{"transaction too large", "POST", "/v1/commit", "application/json", bytes.Repeat([]byte(" "), MaxTransaction+1), 413},
		{"not JSON", "POST", "/v1/commit", "application/json", []byte("{"), 400},
		{"no writes", "POST", "/v1/commit", "application/json", []byte(`{"conditions":[],"writes":[]}`), 400},
		{"no key", "GET", "/v1/row", "application/json", nil, 400},
		{"limit too high", "GET", "/v1/rows?prefix=a&limit=10001", "application/json", nil, 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(test.method, test.path, bytes.NewReader(test.body))
			r.Header.Set("Content-Type", test.kind)
			handler.ServeHTTP(w, r)
			if w.Code != test.status || !strings.Contains(w.Body.String(), `"notApplied":true`) {
				t.Errorf("status %d, %s", w.Code, w.Body)
			}
		})
	}
}

package telemetry

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// Guards against connections that use up a node's descriptors without a word in its log.
func TestManyConnectionsAreTold(t *testing.T) {
	var out bytes.Buffer
	c := NewConns(zerolog.New(&out), "calls")
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	for range 2*firstMany + 1 {
		c.Note(a, http.StateNew)
	}
	for range firstMany {
		c.Note(a, http.StateClosed)
	}
	if c.Open() != firstMany+1 {
		t.Errorf("%d are open", c.Open())
	}
	if lines := strings.Count(out.String(), "\n"); lines != 2 || !strings.Contains(out.String(), `"open":1024`) {
		t.Errorf("%s", out.String())
	}
}

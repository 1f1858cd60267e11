package trust_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/trust"
	"github.com/marlpass/marlpass/internal/trust/trusttest"
)

// A renewed certificate began to be valid a minute after it was written, since
// the authority's clock was ahead. The node refused it with one line and did not
// look at it again, as the files no longer changed. When the old one ran out,
// days later, the node dropped out of the mesh.
func TestCertificateThatComesTooEarlyIsTakenInTime(t *testing.T) {
	ca := trusttest.NewCA(t)
	id := trust.Identity{Mesh: "trust", VM: "a"}
	dir := t.TempDir()
	f := ca.Write(dir, trusttest.Leaf{ID: id})
	now := time.Now()
	var log bytes.Buffer
	k, err := trust.New(trust.Options{
		Files: f, Self: &id, Log: zerolog.New(&log), Now: func() time.Time { return now },
	})
	if err != nil {
		t.Fatal(err)
	}
	running := k.Expires()
	ca.Write(dir, trusttest.Leaf{ID: id, NotBefore: now.Add(time.Minute), NotAfter: now.Add(20 * time.Hour)})
	for range 3 {
		k.Poll()
	}
	if !k.Expires().Equal(running) {
		t.Fatal("taken before its time")
	}
	if n := strings.Count(log.String(), "\n"); n != 1 {
		t.Errorf("%d lines for one refusal: %s", n, log.String())
	}
	now = now.Add(2 * time.Minute)
	k.Poll()
	if k.Expires().Equal(running) {
		t.Errorf("not taken in its time: %s", log.String())
	}
}

package load

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/node"
)

func startOverloadMesh(t *testing.T, classes ...workClass) *overloadMesh {
	t.Helper()
	m, err := newOverloadMesh(t.Context(), classes, node.Policies{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.close)
	return m
}

// send makes one call at an entry node and returns why it was refused, or "".
func (m *overloadMesh) send(t *testing.T, entry int, c *workClass, id string, work, deadline time.Duration) call.Reason {
	query := url.Values{"time": {work.String()}}
	req, err := http.NewRequest(c.method, m.entries[entry]+c.path+"?"+query.Encode(), nil)
	if err != nil {
		t.Error(err)
		return ""
	}
	req.Header[backend.HeaderRequest] = []string{id}
	if deadline > 0 {
		req.Header[call.HeaderDeadline] = []string{strconv.FormatInt(deadline.Milliseconds(), 10)}
	}
	resp, err := m.transport.RoundTrip(req)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer resp.Body.Close()
	// The status and the headers tell all.
	_, _ = io.Copy(io.Discard, resp.Body)
	return call.Reason(resp.Header.Get(call.HeaderNotRun))
}

// A class is bounded to four calls a second over the mesh, one at each of four
// backend servers. All its callers are in one data centre. The third call in a
// row was refused as over the rate, with half of the rate unused: the refusal
// was not tried elsewhere, and would have been tried in the own data centre
// first.
func TestRateIsFoundWhereItIsLeft(t *testing.T) {
	c := workClass{name: "feeds", method: http.MethodGet, path: "/feeds", deadline: 5 * time.Second,
		percentile: 99, priority: 5, idempotent: true, ratePerSecond: 4}
	m := startOverloadMesh(t, c)
	for i := range 3 {
		if why := m.send(t, 0, &c, strconv.Itoa(i), 0, 0); why != "" {
			t.Errorf("call %d: refused as %s", i+1, why)
		}
	}
}

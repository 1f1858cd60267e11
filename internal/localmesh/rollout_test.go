package localmesh

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/node"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/rollout"
)

// oneOrder is the only order for a rollout.
type oneOrder struct{ order rollout.Order }

func (o oneOrder) Order(_ context.Context, service string) (rollout.Order, bool, error) {
	return o.order, service == o.order.Service, nil
}

func (o oneOrder) Status(service string, r rollout.Record) platform.Write {
	value, err := json.Marshal(r.Phase)
	if err != nil {
		panic(err)
	}
	return platform.Write{Key: platform.StatusPrefix + service, Value: value}
}

const (
	rolloutService = "berths"
	rolloutServers = 4 // of each version
	rolloutCallers = 12
	rolloutTime    = 8 * time.Second
)

// rolloutMesh is a mesh with servers of two versions, of which the second fails a part of its
// calls, and callers that call all the while.
type rolloutMesh struct {
	*testMesh
	inbox           *rollout.Inbox
	order           rollout.Order
	old, fresh      []*backend.Server
	answered, wrong atomic.Int64
}

func startRolloutMesh(t *testing.T, badShare float64) *rolloutMesh {
	m := &rolloutMesh{inbox: rollout.NewInbox()}
	m.order = rollout.Order{Service: rolloutService, Target: "v2", TimeLimit: rolloutTime, Revision: 1}
	o := options(DataCentre{Name: "dc1", Region: "west", VMs: 2 * rolloutServers})
	o.Node = func(_ *VM, n *node.Options) { n.Orders, n.Inbox = oneOrder{m.order}, m.inbox }
	m.testMesh = ready(t, o)
	m.inForce(m.accepted(m.VMs[0], m.stated(rolloutService)))
	m.old = m.start("v1", 0, m.VMs[:rolloutServers])
	m.must(m.WaitEndpoints(m.ctx, rolloutService, rolloutServers))
	for i := range rolloutCallers {
		go m.call(m.VMs[i%rolloutServers].Addrs().Callers)
	}
	m.fresh = m.start("v2", badShare, m.VMs[rolloutServers:])
	return m
}

func (m *rolloutMesh) start(version string, badShare float64, vms []*VM) []*backend.Server {
	var out []*backend.Server
	for _, vm := range vms {
		set := backend.Defaults()
		set.Service, set.Version, set.BadShare = rolloutService, version, badShare
		b, err := m.StartBackend(m.ctx, vm, set)
		m.must(err)
		out = append(out, b)
	}
	return out
}

// call calls the service until the test ends.
func (m *rolloutMesh) call(address string) {
	for m.ctx.Err() == nil {
		req, err := http.NewRequestWithContext(m.ctx, http.MethodGet, fmt.Sprintf("http://%s/%s/", address, rolloutService), nil)
		if err != nil {
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue // the test has ended, or it counts as not answered
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			m.answered.Add(1)
		} else {
			m.wrong.Add(1)
		}
	}
}

// verdict waits until a verdict is in the table.
func (m *rolloutMesh) verdict() rollout.Record {
	m.t.Helper()
	var record rollout.Record
	m.wait("a verdict", func(*node.Node) bool {
		row, err := m.Store.Table().Get(m.ctx, rollout.RecordKey(rolloutService))
		if err != nil {
			return false
		}
		record, err = rollout.DecodeRecord(row.Value)
		return err == nil && record.Phase.Final()
	})
	return record
}

func runs(servers []*backend.Server) int64 {
	var n int64
	for _, s := range servers {
		n += int64(s.Runs().Runs)
	}
	return n
}

// Guards against a server of a new version that runs calls before a coordinator lets it, and
// one of the baseline that still runs calls when the rollout is completed.
func TestRolloutCompletes(t *testing.T) {
	m := startRolloutMesh(t, 0)
	time.Sleep(time.Second)
	if n := runs(m.fresh); n > 0 {
		t.Errorf("%d calls run by the new version unasked", n)
	}
	m.inbox.Put(m.order)
	record := m.verdict()
	before := runs(m.old)
	if record.Phase != rollout.Completed {
		t.Fatalf("%s: %s", record.Phase, record.Reason)
	}
	m.must(m.WaitEndpoints(m.ctx, rolloutService, rolloutServers))
	time.Sleep(time.Second)
	if after := runs(m.old); after != before {
		t.Errorf("the baseline ran %d calls after the verdict", after-before)
	}
	if m.answered.Load() == 0 || m.wrong.Load() > 0 {
		t.Errorf("%d calls were answered well and %d were not", m.answered.Load(), m.wrong.Load())
	}
}

// Guards against a bad version that stays in service, or takes the baseline's place.
func TestRolloutOfABadVersionIsRolledBack(t *testing.T) {
	m := startRolloutMesh(t, 0.5)
	m.inbox.Put(m.order)
	if record := m.verdict(); record.Phase != rollout.RolledBack || !strings.Contains(record.Reason, "failed") {
		t.Fatalf("%s: %s", record.Phase, record.Reason)
	}
	m.must(m.WaitEndpoints(m.ctx, rolloutService, rolloutServers))
	time.Sleep(time.Second) // for the word to reach all nodes
	before := runs(m.fresh)
	time.Sleep(time.Second)
	if after := runs(m.fresh); after != before {
		t.Errorf("the new version ran %d calls after the verdict", after-before)
	}
}

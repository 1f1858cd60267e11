package node

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/membership"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// Guards against a service left out of an incremental update, whose calls would go to an
// endpoint that no longer exists: after any sequence of views, pickers hold the same endpoints
// as pickers that were given only the last view.
func TestPickersFollowEveryView(t *testing.T) {
	self := membership.VM{ID: "vm-0", DataCentre: "dc-0", Region: "region-0"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := newPickers(self, false)
		view := &membership.View{Self: self.ID, Records: map[string]*membership.ObservedRecord{}}
		for range rapid.IntRange(1, 12).Draw(t, "views") {
			view = drawView(t, view)
			p.update(now, view)
			now = now.Add(time.Second)
		}
		fresh := newPickers(self, false)
		fresh.update(now, view)
		for _, service := range services {
			if got, want := describeEndpoints(p, service, now), describeEndpoints(fresh, service, now); !slices.Equal(got, want) {
				t.Fatalf("%s: got %v, want %v", service, got, want)
			}
			if got, want := p.readyBackends(service), fresh.readyBackends(service); got != want {
				t.Fatalf("%s: got %d ready endpoints, want %d", service, got, want)
			}
		}
	})
}

var services = []string{"berths", "surveys", "cranes"}

// drawView returns a view in which some records are replaced, added or removed, and the others
// are shared with v.
func drawView(t *rapid.T, v *membership.View) *membership.View {
	next := &membership.View{Self: v.Self, Records: map[string]*membership.ObservedRecord{}}
	for i := range 8 {
		id := fmt.Sprintf("vm-%d", i)
		switch rapid.IntRange(0, 3).Draw(t, id) {
		case 0:
			if r := v.Records[id]; r != nil {
				next.Records[id] = r
			}
		case 1:
			next.Records[id] = drawRecord(t, id)
		case 2:
			if r := v.Records[id]; r != nil {
				copied := *r
				copied.AppliedVersion++
				next.Records[id] = &copied
			}
		}
	}
	return next
}

func drawRecord(t *rapid.T, id string) *membership.ObservedRecord {
	r := &membership.ObservedRecord{Record: membership.Record{
		VM:    membership.VM{ID: id, DataCentre: "dc-0", Region: "region-0", CallAddr: rapid.SampledFrom([]string{"a:1", "a:2"}).Draw(t, "addr")},
		State: rapid.SampledFrom([]membership.VMState{membership.VMAlive, membership.VMSuspect, membership.VMLeaving}).Draw(t, "state"),
	}}
	for range rapid.IntRange(0, 2).Draw(t, "backends") {
		r.Backends = append(r.Backends, membership.Backend{
			Service:  rapid.SampledFrom(services).Draw(t, "service"),
			Instance: fmt.Sprint(len(r.Backends)),
			Slots:    rapid.IntRange(1, 3).Draw(t, "slots"),
			State:    rapid.SampledFrom([]membership.BackendState{membership.BackendReady, membership.BackendDraining}).Draw(t, "backend state"),
		})
	}
	return r
}

// describeEndpoints returns the endpoints of a service with the fields that picking depends on.
func describeEndpoints(p *pickers, service string, now time.Time) []string {
	var out []string
	for _, e := range p.forService(service).Endpoints(now) {
		x := e.Endpoint
		out = append(out, fmt.Sprint(x.ID, x.Addr, x.Slots, x.Ready, x.Draining, x.Suspect))
	}
	return out
}

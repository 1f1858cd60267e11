package route

import (
	"testing"
	"time"
)

func TestPickByKey(t *testing.T) {
	p, q := picker(Options{}, endpoints(9)), picker(Options{Seed: 5}, endpoints(9))
	for key := range uint64(50) {
		a, err := p.PickByKey(simStart, key, nil)
		b, _ := q.PickByKey(simStart, key, nil)
		if id := q.EndpointByKey(simStart, key, nil); id != b.Endpoint().ID {
			t.Fatalf("picks %s, but EndpointByKey returns %s", b.Endpoint().ID, id)
		}
		if err != nil || a.Endpoint().ID != b.Endpoint().ID {
			t.Fatalf("key %d: %v and %v", key, a.Endpoint(), b.Endpoint())
		}
		c, err := p.PickByKey(simStart, key, []string{a.Endpoint().ID})
		if err != nil || c.Endpoint().ID == a.Endpoint().ID {
			t.Fatalf("key %d: %v is not avoided, %v", key, a.Endpoint(), err)
		}
	}
	if c, err := picker(Options{}, endpoints(1)).PickByKey(simStart, 1, []string{"e0"}); err != nil {
		t.Errorf("with one endpoint: %v %v", c, err)
	}
}

func TestConcurrentUse(t *testing.T) {
	p := picker(Options{}, endpoints(9))
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				p.Update(simStart, endpoints(5+i%5))
			}
		}
	}()
	for range 2000 {
		c, err := p.Pick(simStart, nil)
		if err != nil {
			t.Error(err)
			break
		}
		c.Done(simStart, failed)
	}
	close(stop)
	<-done
}

// The 32-bit timestamps of the averages wrap around after seven weeks. If all samples then seemed
// old, nodes would send calls to failing endpoints again.
func TestAveragesAcrossTimestampWrap(t *testing.T) {
	for _, day := range []int{1, 49, 50, 200} {
		p := picker(Options{}, endpoints(2))
		now := simStart.Add(time.Duration(day) * 24 * time.Hour)
		c, _ := p.Pick(now, []string{"e0"})
		c.Done(now, failed)
		for _, later := range []time.Duration{-time.Millisecond, 0, time.Second} {
			if f := p.Endpoints(now.Add(later))[1].FailureRate; f < 0.5 {
				t.Errorf("day %d: failures %.2f, %v later", day, f, later)
			}
		}
	}
}

// At a node whose calls don't overlap, the number of open calls doesn't show that a backend server
// is slow. Its latency must.
func TestSlowEndpointGetsFewerCalls(t *testing.T) {
	p := picker(Options{}, endpoints(4))
	report := func(id string) Report {
		r := succeeded
		if id == "e0" {
			r.Latency *= 20
		}
		return r
	}
	if got := pickMany(t, p, simStart, 400, report); got["e0"] >= 50 {
		t.Errorf("the slow endpoint got %d of 400 calls", got["e0"])
	}
}

// Six of eight endpoints fail and the cap keeps them in. Two random ones are often both failing, so
// further draws must follow.
func TestExtraDrawsWhenManyFail(t *testing.T) {
	p := picker(Options{MaxEjected: 0.01}, endpoints(8))
	report := func(id string) Report {
		if id < "e6" {
			return failed
		}
		return succeeded
	}
	pickMany(t, p, simStart, 100, report)
	got := pickMany(t, p, simStart, 400, report)
	if succeeded := got["e6"] + got["e7"]; succeeded < 300 {
		t.Errorf("%d of 400 calls went to the healthy endpoints", succeeded)
	}
}

func TestLoadReportedByFailuresIsIgnored(t *testing.T) {
	p := picker(Options{}, endpoints(4))
	busy, idle := succeeded, failed
	busy.Load = Load{Busy: 6, Slots: 6, Present: true}
	idle.Load = Load{Busy: 0, Slots: 6, Present: true}
	pickMany(t, p, simStart, 100, func(string) Report { return busy })
	before, _, _ := p.otherLoad.load(p.millis(simStart))
	pickMany(t, p, simStart, 100, func(string) Report { return idle })
	if after, _, _ := p.otherLoad.load(p.millis(simStart)); after != before {
		t.Errorf("mean load was %.2f, and %.2f after failures that reported no load", before, after)
	}
}

// Every endpoint has an equal part of a class's rate. A call refused as over the rate was retried
// only at endpoints of the same data centre, which had most of the callers and whose parts were
// used up too, while most of the rate was unused elsewhere.
func TestPickAnywhereUsesOtherDataCentres(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := New(Options{Self: "vm", DataCentre: "dc1", Region: "r", Seed: 1})
	p.Update(now, []Endpoint{
		{ID: "a", DataCentre: "dc1", Region: "r", Slots: 6, Ready: true},
		{ID: "b", DataCentre: "dc1", Region: "r", Slots: 6, Ready: true},
		{ID: "c", DataCentre: "dc2", Region: "r", Slots: 6, Ready: true},
		{ID: "d", DataCentre: "dc2", Region: "r", Slots: 6, Draining: true},
	})
	seen := map[string]bool{}
	for range 50 {
		c, err := p.PickAnywhere(now, []string{"a"})
		if err != nil {
			t.Fatal(err)
		}
		seen[c.Endpoint().ID] = true
	}
	if len(seen) != 2 || !seen["b"] || !seen["c"] {
		t.Errorf("picked %v", seen)
	}
	if c, err := p.PickAnywhere(now, []string{"a", "b", "c"}); err != nil || c.Endpoint().ID == "d" {
		t.Errorf("all endpoints tried: %v, %v", c.Endpoint(), err)
	}
}

package route

import (
	"testing"
	"time"
)

func TestPickFixed(t *testing.T) {
	p, q := picker(Options{}, endpoints(9)), picker(Options{Seed: 5}, endpoints(9))
	for key := range uint64(50) {
		a, err := p.PickByKey(simStart, key, nil)
		b, _ := q.PickByKey(simStart, key, nil)
		if id := q.EndpointByKey(simStart, key, nil); id != b.Endpoint().ID {
			t.Fatalf("picks %s, says %s", b.Endpoint().ID, id)
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

// After seven weeks a node sends calls to failing endpoints again. The moments
// kept with the averages wrap around, and all samples would look old.
func TestAveragesOverTheWrap(t *testing.T) {
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

// Users wait for a slow backend server at a node that has so few calls that none
// of them overlap: open calls don't show that it is slow, only its answers do.
func TestSlowAnswersRankLower(t *testing.T) {
	p := picker(Options{}, endpoints(4))
	report := func(id string) Report {
		r := well
		if id == "e0" {
			r.Latency *= 20
		}
		return r
	}
	if got := picks(t, p, simStart, 400, report); got["e0"] >= 50 {
		t.Errorf("the slow endpoint got %d of 400 calls", got["e0"])
	}
}

// Six of eight endpoints fail and the cap keeps them in. Of two drawn both are
// failing ones more often than not, so the draw goes on.
func TestDrawsOnWhereManyFail(t *testing.T) {
	p := picker(Options{MaxEjected: 0.01}, endpoints(8))
	report := func(id string) Report {
		if id < "e6" {
			return failed
		}
		return well
	}
	picks(t, p, simStart, 100, report)
	got := picks(t, p, simStart, 400, report)
	if well := got["e6"] + got["e7"]; well < 300 {
		t.Errorf("%d of 400 calls went to the endpoints that are well", well)
	}
}

func TestLoadOfFailuresIsNotBelieved(t *testing.T) {
	p := picker(Options{}, endpoints(4))
	busy, idle := well, failed
	busy.Load = Load{Busy: 6, Slots: 6, Present: true}
	idle.Load = Load{Busy: 0, Slots: 6, Present: true}
	picks(t, p, simStart, 100, func(string) Report { return busy })
	before, _, _ := p.others.load(p.millis(simStart))
	picks(t, p, simStart, 100, func(string) Report { return idle })
	if after, _, _ := p.others.load(p.millis(simStart)); after != before {
		t.Errorf("mean load was %.2f, and %.2f after failures that said they were idle", before, after)
	}
}

// A class has a rate, and every endpoint an equal part of it. Most callers are in
// one data centre; a call refused there as over the rate was tried at the other
// endpoints of the same data centre, whose parts were used up as well, and
// refused, with most of the rate unused elsewhere.
func TestPickAnywhereLeavesTheDataCentre(t *testing.T) {
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
		t.Errorf("when all were tried: %v, %v", c.Endpoint(), err)
	}
}

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Times and bounds of lateExtra421.
const (
	crashes        = 6                       // of one endpoint, one after another
	downFor        = 3 * time.Second         // of the endpoint that crashes
	firstBeatAfter = 1200 * time.Millisecond // of its next incarnation
	bookEvery      = 60 * time.Millisecond   // at each machine
	spotEvery      = 240 * time.Millisecond
	playFor        = 7 * time.Second // after the endpoint is back
	maxSpoiled     = 2               // answers that an incarnation sends twice
	spoilsFor      = 5 * time.Second // how long an incarnation sends them
	maxSpoiledPart = 0.03            // of the answers of an incarnation
)

// lateExtra421 plays an endpoint that crashes and is back as a new incarnation at its address. Until
// its first heartbeat it answers 421 to requests for the old one. Being faulty, it sends a few of
// these answers a second time, late: where the next answer on the connection is expected.
func lateExtra421(s *scenario) ([]string, error) {
	s.configure(1, []string{"berth-svc", "records-svc"},
		route{name: "r-book", prefix: "/book/", kind: "unsafe", service: "berth-svc", timeout: 1500 * time.Millisecond},
		route{name: "r-spot", prefix: "/spot/", kind: "safe", service: "berth-svc", timeout: 1200 * time.Millisecond})
	first, v, err := s.addMachine("neg-shed", "berth-svc")
	if err != nil {
		return nil, err
	}
	for _, m := range []struct {
		zone, service string
		count         int
	}{{"neg-shed", "berth-svc", 3}, {"gal-shed", "berth-svc", 3}, {"neg-shed", "records-svc", 3}} {
		for range m.count {
			if _, _, err := s.addMachine(m.zone, m.service); err != nil {
				return nil, err
			}
		}
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range s.machines {
		go s.client(m).stream(ctx, bookEvery, func() call {
			return call{method: http.MethodPost, path: "/book/2f", deadline: 3 * time.Second}
		})
		go s.client(m).stream(ctx, spotEvery, func() call {
			return call{method: http.MethodGet, path: "/spot/2f", deadline: 2500 * time.Millisecond}
		})
	}
	time.Sleep(3 * time.Second)
	var all []*server
	for n := range crashes {
		v.end()
		time.Sleep(downFor)
		v = s.addServer(fmt.Sprintf("i-1-%d", n+2), first)
		var spoiled atomic.Int64
		if s.trouble {
			v.spoil = func() bool { return spoiled.Add(1) <= maxSpoiled }
			v.spoilUntil = time.Now().Add(spoilsFor)
		}
		if err := v.start(firstBeatAfter); err != nil {
			return nil, err
		}
		all = append(all, v)
		time.Sleep(playFor)
	}
	cancel()
	time.Sleep(3 * time.Second) // requests under way come to their end
	return s.checkLateExtra421(all)
}

// checkLateExtra421 checks the rules, and that the disruption was played within its limit.
func (s *scenario) checkLateExtra421(all []*server) ([]string, error) {
	total := int64(0)
	for _, v := range all {
		answers, twice := v.answers.Load(), v.spoiled.Load()
		total += twice
		s.rec.line("server %s gave %d answers, and %d of them a second time", v.id, answers, twice)
		if part := float64(twice) / float64(max(answers, 1)); part > maxSpoiledPart {
			return nil, fmt.Errorf("%.3f of the answers of %s were spoiled, at most %.2f may be", part, v.id, maxSpoiledPart)
		}
	}
	if s.trouble && total == 0 {
		return nil, fmt.Errorf("no answer was sent twice")
	}
	twice, refused := s.rec.twice()
	return append(twice, refused...), nil
}

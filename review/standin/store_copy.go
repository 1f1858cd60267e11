package main

import (
	"fmt"
	"net/http"
	"time"
)

// Times of storeFromACopy.
const (
	copyAge    = 4 * time.Second        // of the copy when the store leaves
	storeAway  = 100 * time.Millisecond // the store
	retryEvery = 10 * time.Millisecond  // of the operator, while its change is not acknowledged
	probeFor   = 8 * time.Second        // of the route that this version adds
	probeEvery = 100 * time.Millisecond // at each machine
)

// storeFromACopy plays a store that is away for a moment and comes back from a copy some seconds old.
// A machine was added and the configuration changed since the copy was made. The operator changes it
// once more meanwhile, and tries again until the store is back.
func storeFromACopy(s *scenario) ([]string, error) {
	services := []string{"berth-svc"}
	route := func(n int) route {
		return route{name: fmt.Sprintf("r-%d", n), prefix: fmt.Sprintf("/added-%d/", n), kind: "safe", service: "berth-svc", timeout: 1200 * time.Millisecond}
	}
	s.configure(1, services, route(1))
	for _, zone := range []string{"neg-shed", "neg-shed", "gal-shed"} {
		if _, _, err := s.addMachine(zone, "berth-svc"); err != nil {
			return nil, err
		}
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	copied, copiedAt := s.store.newest(), time.Now()
	s.rec.line("a copy of the store is made at version %d", copied)
	m, v, err := s.addMachine("gal-shed", "berth-svc")
	if err != nil {
		return nil, err
	}
	if err := m.start(); err != nil {
		return nil, err
	}
	if err := v.start(0); err != nil {
		return nil, err
	}
	if err := awaitReady([]*machine{m}, startBound); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	s.rec.line("machine %s was added, the store is at version %d", m.name, s.store.newest())
	s.configure(2, services, route(1), route(2))
	time.Sleep(time.Until(copiedAt.Add(copyAge)))
	if s.trouble {
		s.rec.line("the store leaves at version %d", s.store.newest())
		s.store.leave()
		time.AfterFunc(storeAway, func() { s.store.restore(copied) })
		for s.store.isAway() {
			time.Sleep(retryEvery)
		}
		s.rec.line("the store is back, at version %d with what the operator wrote", s.store.newest())
	}
	s.configure(3, services, route(1), route(2), route(3))
	s.rec.line("the store is at version %d", s.store.newest())
	// All machines are in touch again by then, and the bound on changes has passed since.
	time.Sleep(stableWindow + configApply + time.Second)
	return s.probeRoutes(), nil
}

// probeRoutes asks each machine for the first and the newest route, and returns where the newest one
// is answered 404.
func (s *scenario) probeRoutes() []string {
	var broken []string
	end := time.Now().Add(probeFor)
	missing := make(map[string]int)
	sent := 0
	for time.Now().Before(end) {
		sent++
		for _, m := range s.machines {
			c := s.client(m)
			for _, path := range []string{"/added-1/2f", "/added-3/2f"} {
				if _, e := c.do(call{method: http.MethodGet, path: path, deadline: 2500 * time.Millisecond}); e.status == http.StatusNotFound {
					missing[m.name+" "+path]++
				}
			}
		}
		time.Sleep(probeEvery)
	}
	for what, n := range missing {
		broken = append(broken, fmt.Sprintf("CONFIG: 404 to %d of %d requests for %s, later than %v after version 3 was acknowledged", n, sent, what, configApply))
	}
	return broken
}

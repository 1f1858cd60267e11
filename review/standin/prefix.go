package main

import (
	"fmt"
	"net/http"
	"time"
)

// addedPrefix plays a change of the configuration that adds a route below another one. Requests whose
// path the new prefix does not begin have to go on to the old route's service.
func addedPrefix(s *scenario) ([]string, error) {
	services := []string{"berth-svc", "records-svc"}
	all := route{name: "r-all", prefix: "/", kind: "unsafe", service: "berth-svc", timeout: 1500 * time.Millisecond}
	added := route{name: "r-records", prefix: "/records/", kind: "safe", service: "records-svc", timeout: 1200 * time.Millisecond}
	s.configure(1, services, all)
	for i, service := range services {
		if _, _, err := s.addMachine([]string{"neg-shed", "gal-shed"}[i], service); err != nil {
			return nil, err
		}
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	paths := []string{"/records", "/records%2F2f", "/berths/2f"}
	s.sendEach(paths)
	if s.trouble {
		s.configure(2, services, all, added)
	}
	time.Sleep(configApply + time.Second)
	s.sendEach(paths)
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	var broken []string
	for _, runs := range s.rec.runs {
		for _, v := range runs {
			if v.service != "berth-svc" {
				broken = append(broken, fmt.Sprintf("ROUTE: %s %s ran at %s of %s; every configuration sends it to berth-svc", v.method, v.uri, v.server, v.service))
			}
		}
	}
	return broken, nil
}

// sendEach sends a request of each path to each machine.
func (s *scenario) sendEach(paths []string) {
	for _, m := range s.machines {
		c := s.client(m)
		for _, path := range paths {
			c.do(call{method: http.MethodPost, path: path, deadline: 3 * time.Second})
		}
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// startBound is how long the nodes may take until all are ready at first.
const startBound = 20 * time.Second

// open serves the store.
func (s *scenario) open(dir string) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, s.store) }() // ends with the process
	s.dir, s.storeAddr = dir, ln.Addr().String()
	return nil
}

// close ends everything that the case started.
func (s *scenario) close() {
	for _, v := range s.servers {
		v.end()
	}
	for _, m := range s.machines {
		m.end(syscall.SIGKILL)
	}
}

// addMachine adds a machine with an endpoint. Neither runs yet.
func (s *scenario) addMachine(zone, service string) (*machine, *server, error) {
	n := len(s.machines) + 1
	m, err := newMachine(fmt.Sprintf("sidecar-%s-%d", zone, n), zone, service, s.dir, s.storeAddr)
	if err != nil {
		return nil, nil, err
	}
	s.machines = append(s.machines, m)
	return m, s.addServer(fmt.Sprintf("i-%d-1", n), m), nil
}

// addServer adds an endpoint of a machine, which does not run yet.
func (s *scenario) addServer(id string, m *machine) *server {
	v := newServer(id, m, s.rec)
	s.servers = append(s.servers, v)
	return v
}

// start starts all machines and endpoints, and waits until the nodes are ready and know each other.
func (s *scenario) start() error {
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, v := range s.servers {
		if err := v.start(0); err != nil {
			return err
		}
	}
	if err := awaitReady(s.machines, startBound); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the nodes find each other
	return nil
}

// client returns a client of a machine.
func (s *scenario) client(m *machine) *client { return newClient(m, s.rec, &s.next) }

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     time.Duration
}

// configure writes a version of the configuration.
func (s *scenario) configure(version int, services []string, routes ...route) {
	doc := map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms",
		},
	}
	known := make(map[string]any)
	for _, name := range services {
		known[name] = map[string]any{"health-path": healthPath, "max-connections": 130, "protocol": "h1", "tls": false}
	}
	list := make(map[string]any)
	for _, r := range routes {
		list[r.name] = map[string]any{
			"host": siteHost, "prefix": r.prefix, "route-type": r.kind, "timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()),
			"target-latency": "800ms", "priority": 1, "service": r.service, "attempts": 2,
		}
	}
	doc["services"], doc["routes"] = known, list
	body, err := json.Marshal(doc)
	if err != nil {
		panic(err) // only texts and numbers
	}
	s.store.write("op", "config", body)
	s.rec.line("operator: version %08x is acknowledged, routes %v", version, prefixes(routes))
}

func prefixes(routes []route) []string {
	out := make([]string, len(routes))
	for i, r := range routes {
		out[i] = r.prefix + " to " + r.service
	}
	return out
}

// twice returns the unsafe requests that ran more than once, and refused those that ran although
// they were answered 408, 421, 429 or 503.
func (r *record) twice() (twice, refused []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, runs := range r.runs {
		if !r.sent[id].unsafe {
			continue
		}
		if len(runs) > 1 {
			twice = append(twice, fmt.Sprintf("TWICE: %s ran at %s and at %s", id, runs[0].server, runs[1].server))
		}
		switch e := r.ends[id]; e.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			refused = append(refused, fmt.Sprintf("REFUSED: %s was answered %d and ran at %s", id, e.status, runs[0].server))
		}
	}
	return twice, refused
}

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recoverBound is the bound `recover`, and recoverLeast the share that has to be served after it.
const (
	recoverBound = 15 * time.Second
	recoverLeast = 0.25
)

// replaced: the machines are replaced one after the other, as in a release, and then all processes are
// killed and start again in place.
func replaced(rec *record, trouble bool) error {
	names := []string{"berth-svc", "records-svc", "desk-svc", "crane-svc", "bill-svc", "survey-svc"}
	o := options{services: names}
	m, err := newMesh(rec, o)
	if m != nil {
		defer m.close()
	}
	if err != nil {
		return err
	}
	routes := make(map[string]any)
	var probes []request
	for _, n := range names {
		routes["r-"+n] = route(host, "/"+n+"/", "safe", n, 2*time.Second)
		probes = append(probes, request{method: http.MethodGet, target: "/" + n + "/7", host: host})
	}
	m.configure("a route to each service", config{"routes": routes, "services": services(names...)})
	if err := m.awaitServed(probes...); err != nil {
		return err
	}
	if trouble {
		for _, v := range slices.Clone(m.machines) {
			if err := m.replace(v, o, probes); err != nil {
				return err
			}
		}
	}
	time.Sleep(stableWindow)
	before := m.servedShare(names, 3*time.Second)
	rec.note("%.2f of the requests are served before the final fault", before)
	all := m.machines
	for _, v := range all {
		m.signal(v, syscall.SIGKILL)
	}
	for _, v := range all {
		<-v.ended
		if err := m.start(v, o); err != nil {
			return err
		}
	}
	rec.note("all processes were killed and have started again, at the same addresses")
	time.Sleep(recoverBound)
	after := m.servedShare(names, 8*time.Second)
	rec.note("%.2f of the requests sent later than %v after that are served", after, recoverBound)
	if before >= recoverLeast && after < recoverLeast {
		rec.breaks("RECOVER: %.2f of the requests are served, %.2f before", after, before)
	}
	return nil
}

// replace starts a new machine for the service of v, waits until it serves, and takes v away.
func (m *mesh) replace(v *machine, o options, probes []request) error {
	if err := m.add(v.service, o); err != nil {
		return err
	}
	fresh := m.machines[len(m.machines)-1]
	until := time.Now().Add(startBound)
	for _, probe := range probes {
		for !m.isReady(fresh) || !m.serves(fresh, probe) {
			if time.Now().After(until) {
				m.noteLogs()
				return fmt.Errorf("%w: %s, %s", errNotReady, fresh.name, probe.target)
			}
			time.Sleep(pollEvery)
		}
	}
	m.rec.note("%s has joined and serves, %s leaves", fresh.name, v.name)
	m.machines = slices.DeleteFunc(m.machines, func(other *machine) bool { return other == v })
	m.leaving.Go(func() {
		v.endpoint.drain()
		v.endpoint.close()
		m.signal(v, syscall.SIGTERM)
		<-v.ended
	})
	const gap = 800 * time.Millisecond
	time.Sleep(gap)
	return nil
}

func (m *mesh) serves(v *machine, q request) bool {
	q.id = newID()
	return send(v.clients, &q).status == http.StatusOK
}

// servedShare sends a request for each service to each node, again and again for a time, and returns
// the share that is served.
func (m *mesh) servedShare(names []string, length time.Duration) float64 {
	const pause = 250 * time.Millisecond
	m.leaving.Wait()
	var sent, served atomic.Int64
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	for _, v := range m.machines {
		wg.Go(func() {
			for time.Now().Before(end) {
				for _, n := range names {
					q := &request{method: http.MethodGet, target: fmt.Sprintf("/%s/%d", n, sent.Add(1)), host: host}
					if a := m.send(v, q); a.status == http.StatusOK && a.err == nil && a.id == q.id {
						served.Add(1)
					}
				}
				time.Sleep(pause)
			}
		})
	}
	wg.Wait()
	return float64(served.Load()) / float64(max(sent.Load(), 1))
}

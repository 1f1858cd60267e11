package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an endpoint began to work on.
type run struct {
	endpoint, service          string
	id, method, target, body   string
	caller, tenant, keyAtPoint string
	signature                  string
}

// endpoint is a stand-in of an application endpoint: it checks whom a request is for, runs it,
// signs the answer and sends heartbeats.
type endpoint struct {
	id, service, address, control string
	server                        *http.Server
	slots                         int
	running                       atomic.Int64
	// work answers a request that runs; nil answers at once.
	work func(w http.ResponseWriter, r *http.Request, ran run)
	rec  *record

	mu   sync.Mutex
	runs []run
	stop chan struct{}

	sequence atomic.Int64
}

func startEndpoint(ln net.Listener, id, service, control string, rec *record) *endpoint {
	e := &endpoint{
		id: id, service: service, address: ln.Addr().String(), control: control, slots: 6,
		rec: rec, stop: make(chan struct{}),
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(ln) }() // ends with Close
	go e.beat()
	return e
}

func (e *endpoint) close() {
	close(e.stop)
	e.server.Close()
}

const beatInterval = 1500 * time.Millisecond

// beat sends heartbeats until the endpoint is closed; the first ones often, until one is taken.
func (e *endpoint) beat() {
	for {
		wait := 100 * time.Millisecond
		if e.say() {
			wait = beatInterval
		}
		select {
		case <-e.stop:
			return
		case <-time.After(wait):
		}
	}
}

// say sends a heartbeat and reports whether it was acknowledged.
func (e *endpoint) say() bool {
	body, _ := json.Marshal(map[string]any{ // strings and numbers always encode
		"service": e.service, "address": e.address, "zone": "z1", "version": "v1", "slots": e.slots,
		"state": "ready", "cold-left": "0ms", "sequence": e.sequence.Add(1),
	})
	resp, err := (&http.Client{Timeout: time.Second}).Post("http://"+e.control+"/v1/instances/"+e.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
	h.Set("Instance-Id", e.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		h.Set("Attempt-Id", id)
	}
	if want := r.Header.Get("Target-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		e.rec.note("endpoint %s rejects %s %s: no id", e.id, r.Method, r.RequestURI)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	ran := run{
		endpoint: e.id, service: e.service, id: id, method: r.Method, target: r.RequestURI, body: string(body),
		caller: r.Header.Get("Caller-Service"), tenant: r.Header.Get("Tenant"), keyAtPoint: r.Header.Get("Authorization"),
		signature: fmt.Sprintf("%s.%s.%d", e.id, id, len(e.runs)+1),
	}
	e.runs = append(e.runs, ran)
	e.mu.Unlock()
	e.rec.note("endpoint %s (%s) runs %s %s id %s, Caller-Service %q, Tenant %q", e.id, e.service, r.Method, r.RequestURI, id, ran.caller, ran.tenant)
	h.Set("Response-Signature", ran.signature)
	if e.work != nil {
		e.work(w, r, ran)
		return
	}
	fmt.Fprintf(w, "%s ran %s %s for %q, id %s\n", e.id, r.Method, r.RequestURI, ran.tenant, id)
}

// ranFor returns the runs of a request.
func (e *endpoint) ranFor(id string) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []run
	for _, r := range e.runs {
		if r.id == id {
			out = append(out, r)
		}
	}
	return out
}

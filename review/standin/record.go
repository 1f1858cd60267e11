package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	began time.Time

	mu   sync.Mutex // guards the fields below
	file *os.File
	out  *bufio.Writer
	sent map[string]sending
	runs map[string][]run // by attempt
	ends map[string]end
}

// sending is one attempt of a client.
type sending struct {
	id, machine, service string
	unsafe               bool
	nested               bool // made by an endpoint
	at                   time.Time
}

// run is one run of a request at an endpoint.
type run struct {
	id, server, service, method, uri, caller string
	at                                       time.Time
	leaving                                  bool // the endpoint had said before that it leaves
}

// end is what the client got.
type end struct {
	status int // zero for a connection that ended without an answer
	body   string
	at     time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(), file: f, out: bufio.NewWriter(f),
		sent: make(map[string]sending), runs: make(map[string][]run), ends: make(map[string]end),
	}, nil
}

// line writes one line with the time since the begin.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineLocked(format, args...)
}

func (r *record) lineLocked(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) sends(s sending, method, path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[s.id] = s
	r.lineLocked("client sends %s: %s %s to %s", s.id, method, path, s.machine)
}

func (r *record) ran(v run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[v.id] = append(r.runs[v.id], v)
	r.lineLocked("server %s (%s) runs %s: %s %s, caller %q", v.server, v.service, v.id, v.method, v.uri, v.caller)
}

func (r *record) answered(id string, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[id] = e
	if e.status == 0 {
		r.lineLocked("client gets no answer to %s: %s", id, e.body)
		return
	}
	r.lineLocked("client gets %d to %s: %s", e.status, id, e.body)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

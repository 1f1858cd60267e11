package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is one incarnation of an endpoint. It speaks HTTP/1.1 by itself, so that it can send
// additional answers.
type server struct {
	id      string
	service string
	zone    string
	address string
	control string // where its heartbeats go
	health  string
	work    time.Duration
	rec     *record
	// spoil decides whether an answer with status 421 is sent a second time, late. Nil means never.
	spoil func() bool
	// spoilUntil is when it stops to send such answers.
	spoilUntil time.Time
	// nested is called while a request runs, and returns whether the calls that the endpoint makes
	// for it were answered. Nil means that it makes none.
	nested func(req *http.Request) bool

	ln       net.Listener
	stop     context.CancelFunc
	sequence atomic.Uint64
	running  atomic.Int64
	answers  atomic.Int64
	spoiled  atomic.Int64
	// draining means that it says in its heartbeats that it leaves, leaving that it has said so for
	// the last time.
	draining, leaving atomic.Bool
	ended             atomic.Bool

	mu    sync.Mutex // guards conns
	conns map[net.Conn]struct{}
}

// newServer returns an endpoint of a machine.
func newServer(id string, m *machine, rec *record) *server {
	return &server{
		id: id, service: m.service, zone: m.zone, address: m.addr("app"), control: m.addr("control"),
		health: healthPath, work: 100 * time.Millisecond, rec: rec, conns: make(map[net.Conn]struct{}),
	}
}

// start listens and serves. Heartbeats begin after the delay.
func (s *server) start(firstBeat time.Duration) error {
	var err error
	for range 100 { // the address was in use a moment ago
		if s.ln, err = net.Listen("tcp", s.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go s.accept()
	go s.announce(ctx, firstBeat)
	s.rec.line("server %s (%s) starts at %s", s.id, s.service, s.address)
	return nil
}

// end ends the endpoint at once: its connections break and it says nothing more.
func (s *server) end() {
	if s.stop == nil || s.ended.Swap(true) {
		return
	}
	s.stop()
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
	s.rec.line("server %s ends, %d requests running", s.id, s.running.Load())
}

func (s *server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// announce sends heartbeats until the endpoint ends or has left.
func (s *server) announce(ctx context.Context, first time.Duration) {
	timer := time.NewTimer(first)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if s.leaving.Load() {
			return
		}
		state := "ready"
		if s.draining.Load() {
			state = "draining"
		}
		s.say("heartbeat", s.heartbeat(state))
		timer.Reset(heartbeatEvery)
	}
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat(state string) []byte {
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slotsPerServer,
		"state": state, "cold-left": "0ms", "sequence": s.sequence.Add(1),
	})
	if err != nil {
		panic(err) // only texts and numbers
	}
	return body
}

// say sends a heartbeat or the word that the endpoint leaves, and reports whether it was
// acknowledged.
func (s *server) say(what string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	url := "http://" + s.control + "/v1/instances/" + s.id + "/" + what
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Close = true
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// retire drains the endpoint as planned work does: it says so, serves on for the drain bound and a
// little longer, says that it leaves, and ends.
func (s *server) retire() {
	s.draining.Store(true)
	for range 3 {
		if s.say("heartbeat", s.heartbeat("draining")) {
			break
		}
	}
	time.Sleep(drainBound + 300*time.Millisecond)
	s.leaving.Store(true)
	s.say("leave", nil)
	s.end()
}

// serve answers the requests of one connection, one at a time.
func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var late []byte // an answer to send once more where the next one is expected
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil && time.Now().Before(s.spoilUntil) {
			s.spoiled.Add(1)
			s.rec.line("server %s sends an extra answer late, before that to %s", s.id, req.Header.Get("Attempt-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
		}
		late = nil
		status, answer := s.handle(req, body)
		if _, err := c.Write(answer); err != nil || req.Close {
			return
		}
		if status == http.StatusMisdirectedRequest && s.spoil != nil && s.spoil() {
			late = answer
		}
	}
}

// handle runs a request or rejects it, and returns its whole answer.
func (s *server) handle(req *http.Request, body []byte) (int, []byte) {
	load := fmt.Sprintf("%d,0,%d", s.running.Load(), slotsPerServer)
	if req.URL.Path == s.health {
		status := http.StatusOK
		if s.leaving.Load() || s.draining.Load() {
			status = http.StatusServiceUnavailable
		}
		return status, encode(status, nil, "Instance-Id", s.id, "Server-Load", load)
	}
	defer s.answers.Add(1)
	id := req.Header.Get("Attempt-Id")
	if want := req.Header.Get("Target-Instance"); want != "" && want != s.id {
		s.rec.line("server %s answers 421 to %s, which is for %s", s.id, id, want)
		return http.StatusMisdirectedRequest, encode(http.StatusMisdirectedRequest, nil, "Attempt-Id", id, "Instance-Id", s.id)
	}
	if s.running.Add(1) > slotsPerServer {
		s.running.Add(-1)
		s.rec.line("server %s rejects %s", s.id, id)
		return http.StatusServiceUnavailable, encode(http.StatusServiceUnavailable, nil, "Attempt-Id", id, "Not-Executed", "1", "Server-Load", load)
	}
	defer s.running.Add(-1)
	s.rec.ran(run{
		id: id, server: s.id, service: s.service, method: req.Method, uri: req.RequestURI,
		caller: req.Header.Get("Caller-Service"), at: time.Now(), leaving: s.leaving.Load() || s.draining.Load(),
	})
	time.Sleep(s.work)
	if s.nested != nil && !s.nested(req) {
		return http.StatusInternalServerError, encode(http.StatusInternalServerError, []byte("a call failed"),
			"Attempt-Id", id, "Response-Signature", s.id+"."+id, "Server-Load", load)
	}
	return http.StatusOK, encode(http.StatusOK, []byte("answer of "+s.service+" to "+id),
		"Attempt-Id", id, "Response-Signature", s.id+"."+id, "Server-Load", load)
}

// encode returns an answer as it goes over the wire.
func encode(status int, body []byte, headers ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

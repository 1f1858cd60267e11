package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Times of leaveAndRestart, counted from when the endpoint sends its last heartbeat.
const (
	leaveAfter  = 500 * time.Millisecond // the endpoint says that it leaves
	restartWait = 200 * time.Millisecond // until its node is stopped, from then on
	lateBy      = 5 * time.Second        // of the last heartbeat
	servesFor   = 11 * time.Second       // of the endpoint after it has said that it leaves
	callEvery   = 60 * time.Millisecond  // at each machine
)

// leaveAndRestart plays an endpoint that says that it leaves, without draining first, and goes on
// serving for a while. Meanwhile the node beside it is stopped and started again. A heartbeat that the
// endpoint sent before it left arrives late, at the new process.
func leaveAndRestart(s *scenario) ([]string, error) {
	s.configure(1, []string{"berth-svc"},
		route{name: "r-book", prefix: "/book/", kind: "unsafe", service: "berth-svc", timeout: 1500 * time.Millisecond})
	first, v, err := s.addMachine("neg-shed", "berth-svc")
	if err != nil {
		return nil, err
	}
	for _, zone := range []string{"neg-shed", "gal-shed"} {
		if _, _, err := s.addMachine(zone, "berth-svc"); err != nil {
			return nil, err
		}
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range s.machines {
		go s.client(m).stream(ctx, callEvery, func() call {
			return call{method: http.MethodPost, path: "/book/2f", deadline: 3 * time.Second}
		})
	}
	time.Sleep(stableWindow + time.Second)
	v.leaving.Store(true) // it sends no heartbeats of its own from now on
	last := v.heartbeat("ready")
	s.rec.line("server %s sends a heartbeat", v.id)
	late := time.AfterFunc(lateBy, func() {
		if s.trouble {
			s.rec.line("the heartbeat of server %s arrives, acknowledged %v", v.id, v.say("heartbeat", last))
		}
	})
	defer late.Stop()
	time.Sleep(leaveAfter)
	if !v.say("leave", nil) {
		return nil, fmt.Errorf("the leaving of %s was not acknowledged", v.id)
	}
	leftAt := time.Now()
	s.rec.line("server %s says that it leaves, acknowledged", v.id)
	time.Sleep(restartWait)
	first.end(syscall.SIGTERM)
	s.rec.line("node %s has stopped", first.name)
	if err := first.start(); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	s.rec.line("node %s starts", first.name)
	time.Sleep(time.Until(leftAt.Add(servesFor)))
	v.end()
	time.Sleep(2 * time.Second)
	cancel()
	time.Sleep(2 * time.Second)
	return s.rec.drained(v.id, leftAt, startedAt), nil
}

// drained returns what reached an endpoint later than the drain bound after its leaving was
// acknowledged, while the node that was restarted had been in touch again.
func (r *record) drained(server string, leftAt, startedAt time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	inTouch := startedAt.Add(stableWindow)
	var out []string
	for id, runs := range r.runs {
		for _, v := range runs {
			if v.server != server || v.at.Sub(leftAt) <= drainBound || v.at.Before(inTouch) {
				continue
			}
			out = append(out, fmt.Sprintf("DRAIN: %s reached %s %.1f s after its leaving was acknowledged, %.1f s after the node's start; its client got %d",
				id, server, v.at.Sub(leftAt).Seconds(), v.at.Sub(startedAt).Seconds(), r.ends[id].status))
		}
	}
	return out
}

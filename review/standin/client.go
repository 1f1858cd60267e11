package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	siteHost   = "berths.example"
	healthPath = "/healthz"
)

// client sends requests from one machine. Each one is sent once.
type client struct {
	m    *machine
	rec  *record
	http *http.Client
	next *atomic.Int64
}

func newClient(m *machine, rec *record, next *atomic.Int64) *client {
	d := &net.Dialer{Timeout: time.Second}
	return &client{m: m, rec: rec, next: next, http: &http.Client{
		Transport: &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 16, DisableCompression: true, IdleConnTimeout: 10 * time.Second},
	}}
}

// call is a request of a client.
type call struct {
	method, path string
	header       map[string]string
	deadline     time.Duration
	nested       bool // an endpoint makes it for a request that it runs
}

// do sends a request and returns its id and what came of it.
func (c *client) do(q call) (string, end) {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+c.next.Add(1))
	body := ""
	if q.method == http.MethodPost {
		body = "a booking " + id
	}
	c.rec.sends(sending{id: id, machine: c.m.name, service: c.m.service, unsafe: q.method == http.MethodPost, nested: q.nested, at: time.Now()}, q.method, q.path)
	e := c.exchange(id, q, body)
	e.at = time.Now()
	c.rec.answered(id, e)
	return id, e
}

func (c *client) exchange(id string, q call, body string) end {
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	var r io.Reader
	if body != "" {
		r = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+c.m.addr("outbound")+q.path, r)
	if err != nil {
		return end{body: err.Error()}
	}
	// net/http repeats a request on another connection by itself; a client counts that as a new
	// attempt, so it must not happen here.
	req.GetBody = nil
	if body == "" {
		req.Close = true // net/http would repeat it on another connection
	}
	req.Host = siteHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return end{body: err.Error()}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return end{body: err.Error()}
	}
	text := strings.TrimSpace(string(got))
	if resp.Header.Get("Response-Signature") == "" {
		text = "(no signature) " + text
	}
	return end{status: resp.StatusCode, body: text}
}

// stream sends requests at an even pace until the context ends, without waiting for answers.
func (c *client) stream(ctx context.Context, every time.Duration, make func() call) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go c.do(make())
		}
	}
}

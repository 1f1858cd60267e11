package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// gone: clients leave while their requests wait for a slot.
func gone(rec *record, trouble bool) error {
	m, err := newMesh(rec, options{services: []string{"book-svc", "book-svc"}})
	if m != nil {
		defer m.close()
	}
	if err != nil {
		return err
	}
	m.configure("one unsafe route", config{
		"routes":   map[string]any{"r-book": route(host, "/book/", "unsafe", "book-svc", 4*time.Second)},
		"services": services("book-svc"),
	})
	for _, v := range m.machines {
		v.endpoint.work = func(w http.ResponseWriter, r *http.Request, ran run) {
			if r.URL.Path == "/book/probe" {
				return
			}
			select {
			case <-r.Context().Done():
				rec.note("endpoint %s: connection of %s closed", ran.endpoint, ran.id)
			case <-time.After(1200 * time.Millisecond):
				fmt.Fprint(w, "ok")
			}
		}
	}
	if err := m.awaitServed(request{method: http.MethodPost, target: "/book/probe", host: host, body: "x"}); err != nil {
		return err
	}
	var wg sync.WaitGroup
	for i := range 12 { // all slots
		wg.Go(func() {
			m.send(m.machines[i%2], &request{method: http.MethodPost, target: "/book/a", host: host, body: "x", deadline: 4 * time.Second})
		})
	}
	time.Sleep(200 * time.Millisecond)
	var left []*request
	line := "Connection: keep-alive"
	if trouble {
		line = "Connection: close"
	}
	for i := range 12 {
		q := &request{method: http.MethodPost, target: "/book/b", host: host, body: "x", deadline: 4 * time.Second, id: newID(), headers: []string{line}}
		left = append(left, q)
		wg.Go(func() {
			c, err := net.Dial("tcp", m.machines[i%2].clients)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, q.text())
			time.Sleep(150 * time.Millisecond)
			c.Close()
			rec.note("client of %s has left", q.id)
		})
	}
	wg.Wait()
	time.Sleep(3 * time.Second)
	for _, q := range left {
		for range m.ranFor(q.id) {
			rec.breaks("GONE: %s ran", q.id)
		}
	}
	return nil
}

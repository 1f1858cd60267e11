package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds and figures of the case gone.
const (
	// goneBound is how long after a client has left its request may still reach an endpoint, and
	// goneFew how many may do so later.
	goneBound = 500 * time.Millisecond
	goneFew   = 5
	goneWork  = 1200 * time.Millisecond
	// leavesAfter is when a client that gives up closes its connection.
	leavesAfter = 300 * time.Millisecond
	goneRounds  = 4
)

// departed is a request whose client has left.
type departed struct {
	q    *request
	at   time.Time
	line string
}

// gone: clients leave while their bookings wait for a slot. Half of them have asked for the close of
// their connection, as clients do that send one request on each.
func gone(rec *record, trouble bool) error {
	names := []string{"book-svc", "book-svc", "book-svc", "book-svc", "book-svc", "book-svc"}
	m, err := newMesh(rec, options{services: names})
	if m != nil {
		defer m.close()
	}
	if err != nil {
		return err
	}
	booking := route(host, "/book/", "unsafe", "book-svc", 4*time.Second)
	booking["target-latency"] = "1500ms"
	m.configure("one unsafe route", config{"routes": map[string]any{"r-book": booking}, "services": services("book-svc")})
	var mu sync.Mutex
	ranAt := make(map[string]time.Time)
	for _, v := range m.machines {
		v.endpoint.work = func(w http.ResponseWriter, r *http.Request, ran run) {
			mu.Lock()
			ranAt[ran.id] = time.Now()
			mu.Unlock()
			if r.URL.Path == "/book/probe" {
				return
			}
			select {
			case <-r.Context().Done():
				rec.note("endpoint %s: the connection of %s closed while it worked", ran.endpoint, ran.id)
			case <-time.After(goneWork):
				fmt.Fprintf(w, "%s ran %s\n", ran.endpoint, ran.id)
			}
		}
	}
	probe := request{method: http.MethodPost, target: "/book/probe", host: host, body: "x", deadline: 4 * time.Second}
	if err := m.awaitServed(probe); err != nil {
		return err
	}
	var left []departed
	var wg sync.WaitGroup
	for range goneRounds {
		for i := range 6 * len(m.machines) {
			wg.Go(func() {
				m.send(m.machines[i%len(m.machines)], &request{method: http.MethodPost, target: "/book/stays", host: host, body: "x", deadline: 4 * time.Second})
			})
		}
		time.Sleep(100 * time.Millisecond)
		for i := range 14 {
			line := "Connection: close"
			if i%2 == 1 {
				line = "Connection: keep-alive"
			}
			wg.Go(func() {
				q := &request{method: http.MethodPost, target: "/book/leaves", host: host, body: "x", deadline: 4 * time.Second, headers: []string{line}, id: newID()}
				if !trouble {
					m.send(m.machines[i%len(m.machines)], q)
					return
				}
				at, err := m.sendAndLeave(m.machines[i%len(m.machines)], q)
				if err != nil {
					rec.note("client of %s: %v", q.id, err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				left = append(left, departed{q, at, line})
			})
		}
		time.Sleep(goneWork)
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	late := make(map[string]int)
	for _, d := range left {
		if at, ran := ranAt[d.q.id]; ran && at.Sub(d.at) > goneBound {
			late[d.line]++
			rec.note("the booking %s (%s) began %d ms after its client had left", d.q.id, d.line, at.Sub(d.at).Milliseconds())
		}
	}
	total := 0
	for line, n := range late {
		rec.note("%s: %d bookings", line, n)
		total += n
	}
	if total > goneFew {
		rec.breaks("GONE: %d bookings of %d whose clients had left reached an endpoint over %v later", total, len(left), goneBound)
	}
	return nil
}

// sendAndLeave sends a request, closes the connection after a while and returns when.
func (m *mesh) sendAndLeave(v *machine, q *request) (time.Time, error) {
	m.rec.note("client at %s sends %s %s id %s, further headers %q", v.name, q.method, q.target, q.id, q.headers)
	c, err := net.Dial("tcp", v.clients)
	if err != nil {
		return time.Time{}, err
	}
	if _, err := io.WriteString(c, q.text()); err != nil {
		c.Close()
		return time.Time{}, err
	}
	time.Sleep(leavesAfter)
	c.Close()
	m.rec.note("client of %s leaves", q.id)
	return time.Now(), nil
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const host = "ficu95.example"

// tenants returns two customers, alpha with its keys and beta with its own.
func tenants(alpha, beta []string) map[string]any {
	return map[string]any{
		"alpha": map[string]any{"name": "alpha", "api-keys": alpha, "priority": 1},
		"beta":  map[string]any{"name": "beta", "api-keys": beta, "priority": 1},
	}
}

func token(key string) string { return "Authorization: Token " + key }

// bound on revoked keys.
const (
	revokeText  = "5000ms"
	revokeBound = 5 * time.Second
)

// sameKey: two customers send an application header of the same value with their bookings.
func sameKey(rec *record, trouble bool) error {
	m, err := newMesh(rec, options{services: []string{"book-svc", "book-svc", "book-svc"}, revoke: revokeText})
	if m != nil {
		defer m.close()
	}
	if err != nil {
		return err
	}
	m.configure("one unsafe route, two tenants", config{
		"routes":   map[string]any{"r-book": route(host, "/book/", "unsafe", "book-svc", 2*time.Second)},
		"services": services("book-svc"), "tenants": tenants([]string{"ka-1"}, []string{"kb-1"}),
	})
	probe := request{method: http.MethodPost, target: "/book/probe", host: host, headers: []string{token("ka-1")}}
	if err := m.awaitServed(probe); err != nil {
		return err
	}
	for i := range 5 {
		for j, customer := range []struct{ name, key string }{{"alpha", "ka-1"}, {"beta", "kb-1"}} {
			value := fmt.Sprintf("order-%d", i+1)
			if !trouble {
				value = customer.name + "-" + value
			}
			q := &request{
				method: http.MethodPost, target: fmt.Sprintf("/book/slot-%d", i+1), host: host, body: `{"haul-out":"0600"}`,
				headers: []string{token(customer.key), "Idempotency-Key: " + value},
			}
			a := m.send(m.machines[(i+j*(i%2))%len(m.machines)], q)
			checkOwnAnswer(m, q, customer.name, a)
		}
	}
	return nil
}

// checkOwnAnswer checks that a success is the answer that an endpoint gave to this request.
func checkOwnAnswer(m *mesh, q *request, tenant string, a answer) {
	if a.status < 200 || a.status > 299 {
		return
	}
	for _, ran := range m.ranFor(q.id) {
		if ran.signature == a.signature && strings.Contains(a.body, q.id) {
			return
		}
	}
	m.rec.breaks("MIXED: the request %s of tenant %s ran %d times and got %d with the answer to request %q, signature %q, body %q",
		q.id, tenant, len(m.ranFor(q.id)), a.status, a.id, a.signature, a.body)
}

// manyKeys: a customer gets one key more than 64; then another customer's key is taken away.
func manyKeys(rec *record, trouble bool) error {
	m, err := newMesh(rec, options{services: []string{"book-svc", "book-svc", "book-svc"}, revoke: revokeText})
	if m != nil {
		defer m.close()
	}
	if err != nil {
		return err
	}
	keys := func(n int) []string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("ka-%04d-%08x", i+1, i*7919))
		}
		return out
	}
	version := func(what string, alpha, beta []string) time.Time {
		return m.configure(what, config{
			"routes":   map[string]any{"r-book": route(host, "/book/", "unsafe", "book-svc", 2*time.Second)},
			"services": services("book-svc"), "tenants": tenants(alpha, beta),
		})
	}
	few, most := keys(60), keys(64)
	if trouble {
		most = keys(65)
	}
	version("alpha has 60 keys, beta 2", few, []string{"kb-1", "kb-2"})
	book := func(key string) *request {
		return &request{method: http.MethodPost, target: "/book/slot", host: host, headers: []string{token(key)}, body: "x"}
	}
	if err := m.awaitServed(*book(few[0]), *book("kb-1"), *book("kb-2")); err != nil {
		return err
	}
	version(fmt.Sprintf("alpha has %d keys", len(most)), most, []string{"kb-1", "kb-2"})
	time.Sleep(configApply + stableWindow)
	for _, v := range m.machines {
		if a := m.send(v, book(most[len(most)-1])); a.status == http.StatusUnauthorized {
			rec.breaks("CONFIG: %s refuses a key with 401, %v after the version that holds it", v.name, configApply+stableWindow)
		}
	}
	taken := version("the key kb-1 of beta is taken away", most, []string{"kb-2"})
	time.Sleep(time.Until(taken.Add(revokeBound + stableWindow)))
	for _, v := range m.machines {
		q := book("kb-1")
		sent := time.Now()
		m.send(v, q)
		for range m.ranFor(q.id) {
			rec.breaks("CONFIG: a request sent %.1f s after the acknowledgement of the version that took its key away ran; the bound is %v", sent.Sub(taken).Seconds(), revokeBound)
		}
	}
	return nil
}

// prefix: endpoints lose answers to requests of an unsafe route, to a path that begins with no longer
// prefix than that route's.
func prefix(rec *record, trouble bool) error {
	m, err := newMesh(rec, options{services: []string{"desk-svc", "desk-svc", "look-svc", "look-svc", "look-svc", "look-svc", "look-svc"}})
	if m != nil {
		defer m.close()
	}
	if err != nil {
		return err
	}
	m.configure("all paths to desk-svc, unsafe; those that begin with /look/ to look-svc, safe", config{
		"routes": map[string]any{
			"r-desk": route(host, "/", "unsafe", "desk-svc", 2*time.Second),
			"r-look": route(host, "/look/", "safe", "look-svc", 2*time.Second),
		},
		"services": services("desk-svc", "look-svc"),
	})
	probes := []request{{method: http.MethodPost, target: "/berth", host: host}, {method: http.MethodGet, target: "/look/7", host: host}}
	if err := m.awaitServed(probes...); err != nil {
		return err
	}
	if trouble {
		for _, i := range []int{0, 2, 3, 4} {
			m.machines[i].endpoint.work = loseAnswers(rec)
		}
	}
	for i := range 100 {
		for _, target := range []string{"/berth", "/look"} {
			q := &request{method: http.MethodPost, target: target, host: host, body: fmt.Sprintf("hull %d", i)}
			m.send(m.machines[i%len(m.machines)], q)
			runs := m.ranFor(q.id)
			if len(runs) > 1 {
				rec.breaks("TWICE: POST %s, of the unsafe route /, ran %d times: at %s and %s of %s", target, len(runs), runs[0].endpoint, runs[1].endpoint, runs[1].service)
			}
			for _, ran := range runs {
				if ran.service != "desk-svc" {
					rec.note("the request for %s was run by %s, though no version sends it there", target, ran.service)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// lossTime is how long endpoints lose answers.
const lossTime = 3800 * time.Millisecond

// loseAnswers returns the work of an endpoint that loses the answers of two requests in five, never of
// more than that so far, for lossTime.
func loseAnswers(rec *record) func(http.ResponseWriter, *http.Request, run) {
	var count, lost atomic.Int64
	end := time.Now().Add(lossTime)
	return func(w http.ResponseWriter, _ *http.Request, ran run) {
		n := count.Add(1)
		if (n%5 == 3 || n%5 == 0) && time.Now().Before(end) {
			rec.note("endpoint %s has run %s, and its answer is lost: %d of %d", ran.endpoint, ran.id, lost.Add(1), n)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "%s ran %s\n", ran.endpoint, ran.id)
	}
}

// connectionHeader: a client names headers that the system sets in its Connection header.
func connectionHeader(rec *record, trouble bool) error {
	m, err := newMesh(rec, options{services: []string{"book-svc", "book-svc", "desk-svc"}, revoke: revokeText})
	if m != nil {
		defer m.close()
	}
	if err != nil {
		return err
	}
	m.configure("one unsafe route, two tenants", config{
		"routes":   map[string]any{"r-book": route(host, "/book/", "unsafe", "book-svc", 2*time.Second)},
		"services": services("book-svc", "desk-svc"), "tenants": tenants([]string{"ka-1"}, []string{"kb-1"}),
	})
	probe := request{method: http.MethodPost, target: "/book/probe", host: host, headers: []string{token("ka-1")}}
	if err := m.awaitServed(probe); err != nil {
		return err
	}
	lines := []string{"Connection: close", "Connection: keep-alive"}
	if trouble {
		lines = []string{"Connection: close, Caller-Service", "Connection: keep-alive, Tenant"}
	}
	for _, v := range m.machines {
		for _, line := range lines {
			q := &request{method: http.MethodPost, target: "/book/slot", host: host, headers: []string{token("kb-1"), line}, body: "x"}
			m.send(v, q)
			for _, ran := range m.ranFor(q.id) {
				if ran.caller != v.service {
					rec.breaks("UNASKED: a request that began on a machine of %s ran with Caller-Service %q", v.service, ran.caller)
				}
				if ran.tenant != "beta" {
					rec.breaks("UNASKED: a request with the key of beta ran with Tenant %q", ran.tenant)
				}
			}
		}
	}
	return nil
}

// silence: an endpoint is silent within an answer while the client's node is stopped.
func silence(rec *record, trouble bool) error {
	m, err := newMesh(rec, options{services: []string{"pics-svc", "pics-svc", "pics-svc"}})
	if m != nil {
		defer m.close()
	}
	if err != nil {
		return err
	}
	const timeout = 4 * time.Second
	m.configure("one download route", config{
		"routes":   map[string]any{"r-pics": route(host, "/pics/", "download", "pics-svc", timeout)},
		"services": services("pics-svc"),
	})
	part := strings.Repeat("p", 20<<10)
	for _, v := range m.machines {
		v.endpoint.work = func(w http.ResponseWriter, r *http.Request, ran run) {
			pause := 50 * time.Millisecond
			if trouble && r.URL.Path != "/pics/probe" {
				pause = 2600 * time.Millisecond
			}
			_, _ = io.WriteString(w, part) // an error means that the node has left
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				rec.note("endpoint %s: the connection of %s closed while it worked", ran.endpoint, ran.id)
				return
			case <-time.After(pause):
			}
			_, _ = io.WriteString(w, part+"end") // as above
			rec.note("endpoint %s has answered %s whole", ran.endpoint, ran.id)
		}
	}
	if err := m.awaitServed(request{method: http.MethodGet, target: "/pics/probe", host: host}); err != nil {
		return err
	}
	stopped := m.machines[0]
	answers := make(chan answer)
	for i := range 4 {
		go func() {
			answers <- m.send(stopped, &request{method: http.MethodGet, target: fmt.Sprintf("/pics/%d", i), host: host, deadline: timeout})
		}()
	}
	time.Sleep(100 * time.Millisecond)
	m.signal(stopped, syscall.SIGTERM)
	for range 4 {
		a := <-answers
		if a.status == http.StatusOK && a.err == nil && strings.HasSuffix(a.body, "end") {
			continue
		}
		rec.breaks("LOST: after SIGTERM a download that was passed on to an endpoint ended without a complete answer after %d ms, of %v: %v", a.took.Milliseconds(), timeout, a)
	}
	return nil
}

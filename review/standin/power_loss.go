package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Times of powerLossAfterReleases.
const (
	releaseRounds = 2                      // how often each machine is replaced
	releaseGap    = 800 * time.Millisecond // between two replacements of a service
	powerOffFor   = 900 * time.Millisecond // at the final fault
	measureFor    = 10 * time.Second       // before the final fault, and once the recovery bound has passed
	callsPart     = 0.7                    // of the requests make calls
	servedLeast   = 0.25                   // of the requests, before the final fault and after it
)

// workClass is a kind of request of the small site.
type workClass struct {
	route
	method   string
	deadline time.Duration
	weight   float64
}

// smallSite are the services with their endpoints, and the kinds of request with their rates.
var (
	smallSiteServices = map[string]int{"preview-svc": 5, "release-svc": 3, "report-svc": 4}
	smallSiteZones    = []string{"sk-central-a", "sk-central-b", "sk-central-c"}
	smallSiteClasses  = []workClass{
		{route{"r-preview", "/preview/", "safe", "preview-svc", 2 * time.Second}, http.MethodGet, 4 * time.Second, 113},
		{route{"r-release", "/release/", "unsafe", "release-svc", 2500 * time.Millisecond}, http.MethodPost, 5 * time.Second, 42.7},
		{route{"r-report", "/report/", "safe", "report-svc", 5 * time.Second}, http.MethodGet, 10 * time.Second, 35.3},
		{route{"r-gate", "/gate/", "safe", "release-svc", time.Second}, http.MethodGet, 600 * time.Millisecond, 0},
		{route{"r-resin", "/resin/", "safe", "report-svc", time.Second}, http.MethodGet, 600 * time.Millisecond, 0},
	}
)

// host is a machine with its endpoint.
type host struct {
	m *machine
	v *server
}

// mesh is the small site while its machines come and go.
type mesh struct {
	s *scenario

	mu   sync.Mutex // guards live
	live []host
}

// powerLossAfterReleases replaces every machine of a site, one after another for each service, as
// releases do. Then all machines lose power and are back within a second.
func powerLossAfterReleases(s *scenario) ([]string, error) {
	x := &mesh{s: s}
	if err := x.open(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go x.traffic(ctx)
	time.Sleep(2 * time.Second)
	if err := x.release(); err != nil {
		return nil, err
	}
	s.rec.line("the releases are over; the store holds %v", s.store.keys("marlpass", "contact/"))
	time.Sleep(measureFor)
	faultAt := time.Now()
	backAt := faultAt
	if s.trouble {
		var err error
		if backAt, err = x.losePower(); err != nil {
			return nil, err
		}
	}
	time.Sleep(recoverBound + measureFor)
	cancel()
	time.Sleep(2 * time.Second) // requests under way come to their end
	before := s.rec.servedPart(faultAt.Add(-measureFor), faultAt)
	after := s.rec.servedPart(backAt.Add(recoverBound), backAt.Add(recoverBound+measureFor))
	s.rec.line("served: %v in the last %v before the final fault, %v later than %v after the machines were back", before, measureFor, after, recoverBound)
	if before.part() >= servedLeast && after.part() < servedLeast {
		return []string{fmt.Sprintf("RECOVER: %v of the requests were served later than %v after the machines were back, %v before the final fault", after, recoverBound, before)}, nil
	}
	return nil, nil
}

// open starts the site.
func (x *mesh) open() error {
	var services []string
	var routes []route
	for name := range smallSiteServices {
		services = append(services, name)
	}
	for _, c := range smallSiteClasses {
		routes = append(routes, c.route)
	}
	x.s.configure(1, services, routes...)
	n := 0
	for name, count := range smallSiteServices {
		for range count {
			h, err := x.add(smallSiteZones[n%len(smallSiteZones)], name)
			if err != nil {
				return err
			}
			x.live = append(x.live, h)
			n++
		}
	}
	return x.s.start()
}

// add adds a machine with an endpoint. Neither runs yet.
func (x *mesh) add(zone, service string) (host, error) {
	m, v, err := x.s.addMachine(zone, service)
	if err != nil {
		return host{}, err
	}
	v.nested = x.nestedCalls(m)
	return host{m, v}, nil
}

// nestedCalls returns the calls that an endpoint makes through its machine while it runs a request.
func (x *mesh) nestedCalls(m *machine) func(*http.Request) bool {
	c := x.s.client(m)
	return func(req *http.Request) bool {
		path, times := "", 1
		switch {
		case rand.Float64() >= callsPart:
		case req.URL.Path == "/preview/2f":
			path, times = "/gate/2f", 2
		case req.URL.Path == "/release/2f":
			path = "/resin/2f"
		}
		if path == "" {
			return true
		}
		good := true
		for range times {
			_, e := c.do(call{method: http.MethodGet, path: path, deadline: 600 * time.Millisecond, nested: true})
			good = good && e.status == http.StatusOK
		}
		return good
	}
}

// traffic sends requests to machines that run, whichever kind, at an even pace.
func (x *mesh) traffic(ctx context.Context) {
	clients := make(map[*machine]*client)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		x.mu.Lock()
		m := x.live[rand.IntN(len(x.live))].m
		x.mu.Unlock()
		if clients[m] == nil {
			clients[m] = x.s.client(m)
		}
		w := drawClass()
		go clients[m].do(call{method: w.method, path: w.prefix + "2f", deadline: w.deadline})
	}
}

func drawClass() workClass {
	total := 0.0
	for _, w := range smallSiteClasses {
		total += w.weight
	}
	at := rand.Float64() * total
	for _, w := range smallSiteClasses {
		if at -= w.weight; at < 0 {
			return w
		}
	}
	return smallSiteClasses[0]
}

// release replaces each machine of each service, one at a time. The new one starts first, the old
// endpoint drains, and its node gets SIGTERM after it has ended.
func (x *mesh) release() error {
	var wg sync.WaitGroup
	errs := make(chan error, len(smallSiteServices))
	for name, count := range smallSiteServices {
		wg.Go(func() {
			for range releaseRounds * count {
				if err := x.replaceOldest(name); err != nil {
					errs <- err
					return
				}
				time.Sleep(releaseGap)
			}
		})
	}
	wg.Wait()
	close(errs)
	return <-errs
}

func (x *mesh) replaceOldest(service string) error {
	x.mu.Lock()
	at := 0
	for x.live[at].m.service != service {
		at++
	}
	old := x.live[at]
	fresh, err := x.add(old.m.zone, service)
	x.mu.Unlock()
	if err != nil {
		return err
	}
	if err := fresh.m.start(); err != nil {
		return err
	}
	if err := fresh.v.start(0); err != nil {
		return err
	}
	if err := awaitReady([]*machine{fresh.m}, startBound); err != nil {
		return err
	}
	x.s.rec.line("machine %s takes the place of %s", fresh.m.name, old.m.name)
	x.mu.Lock()
	x.live = slices.DeleteFunc(x.live, func(h host) bool { return h.m == old.m })
	x.live = append(x.live, fresh)
	x.mu.Unlock()
	go func() {
		old.v.retire()
		old.m.end(syscall.SIGTERM)
		x.s.rec.line("machine %s is removed", old.m.name)
	}()
	return nil
}

// losePower ends all nodes and endpoints at one moment, and starts them again. The endpoints are new
// incarnations.
func (x *mesh) losePower() (backAt time.Time, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var names []string
	for _, h := range x.live {
		names = append(names, h.m.name)
	}
	x.s.rec.line("all machines lose power: %v; the store holds %v", names, x.s.store.keys("marlpass", "contact/"))
	for _, h := range x.live {
		h.m.signal(syscall.SIGKILL)
		h.v.end()
	}
	time.Sleep(powerOffFor)
	for i, h := range x.live {
		h.m.end(syscall.SIGKILL)
		if err := h.m.start(); err != nil {
			return backAt, err
		}
		fresh := x.s.addServer(h.v.id+"-back", h.m)
		fresh.nested = h.v.nested
		if err := fresh.start(0); err != nil {
			return backAt, err
		}
		x.live[i].v = fresh
	}
	x.s.rec.line("all machines are back")
	return time.Now(), nil
}

// served counts requests.
type served struct{ good, all int }

func (p served) part() float64 { return float64(p.good) / float64(max(p.all, 1)) }

// String returns the figures.
func (p served) String() string { return fmt.Sprintf("%d of %d", p.good, p.all) }

// servedPart counts the requests of clients that were sent in a span, and those that got a success.
func (r *record) servedPart(from, to time.Time) served {
	r.mu.Lock()
	defer r.mu.Unlock()
	var p served
	for id, q := range r.sent {
		if q.nested || q.at.Before(from) || q.at.After(to) {
			continue
		}
		p.all++
		if r.ends[id].status == http.StatusOK {
			p.good++
		}
	}
	return p
}

package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/message"
)

// Calls of a measurement.
const (
	servedServices = 4 // services with a backend server in every data centre
	callEvery      = 50 * time.Millisecond
	callBound      = 3 * time.Second
	backendSlots   = 64
)

// Calls counts what became of calls.
type Calls struct {
	Sent    int `json:"sent"`
	Served  int `json:"served"`
	Refused int `json:"refused"` // told that they were not run
	Failed  int `json:"failed"`
}

// calls sends calls in every data centre, each to a node of it that takes
// calls, and checks what they were answered by.
type calls struct {
	f       *fleet
	client  *http.Client
	servers map[*backend.Server]string // to the service
	end     context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex
	byCentre  map[string]*Calls
	exchanged int // answers that belong to another call
}

// startCalls starts backend servers and waits until every node knows them.
func startCalls(ctx context.Context, f *fleet) (*calls, error) {
	c := &calls{
		f: f, servers: make(map[*backend.Server]string), byCentre: make(map[string]*Calls),
		client: &http.Client{Timeout: callBound, Transport: message.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4})},
	}
	ctx, c.end = context.WithCancel(ctx)
	for _, dc := range centreNames() {
		vms := f.inCentre(dc)
		for i := range servedServices {
			if err := c.startServer(ctx, vms[i%len(vms)], serviceName(i)); err != nil {
				return nil, err
			}
		}
	}
	bound, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	for i := range servedServices {
		if err := f.WaitEndpoints(bound, serviceName(i), len(centres)); err != nil {
			return nil, fmt.Errorf("backend servers are not known: %w", err)
		}
	}
	for _, dc := range centreNames() {
		c.byCentre[dc] = new(Calls)
		c.running.Go(func() { c.stream(ctx, dc) })
	}
	return c, nil
}

func (c *calls) startServer(ctx context.Context, vm *localmesh.VM, service string) error {
	set := backend.Defaults()
	set.Service, set.Instance, set.Slots, set.Backlog = service, service, backendSlots, backendSlots
	set.Distribution, set.Mean.Duration, set.ColdStart.Duration, set.ConnectionCost.Duration = backend.Fixed, 0, 0, 0
	b, err := c.f.StartBackend(ctx, vm, set)
	if err == nil {
		c.servers[b] = service
	}
	return err
}

// stream sends calls in one data centre until ctx ends.
func (c *calls) stream(ctx context.Context, dc string) {
	vms := c.f.inCentre(dc)
	t := time.NewTicker(callEvery)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if addr := entry(vms); addr != "" {
			service := serviceName(rand.IntN(servedServices))
			id := fmt.Sprintf("%s.%s.%d", service, dc, i)
			c.running.Go(func() { c.one(ctx, dc, addr, service, id) })
		}
	}
}

// entry returns the address for callers of a random node that takes calls.
func entry(vms []*localmesh.VM) string {
	for _, i := range rand.Perm(len(vms)) {
		if n := vms[i].Node(); n != nil && n.ServingState().TakesCalls {
			return n.Addrs().Callers
		}
	}
	return ""
}

func (c *calls) one(ctx context.Context, dc, addr, service, id string) {
	refused, err := c.do(ctx, "http://"+addr+pathOf(service), id)
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.byCentre[dc]
	n.Sent++
	switch {
	case refused:
		n.Refused++
	case err == nil:
		n.Served++
	default:
		n.Failed++
	}
	if errors.Is(err, backend.ErrOther) {
		c.exchanged++
	}
}

// errStatus means that a call was answered with an error.
var errStatus = errors.New("control: the call was answered with an error")

func (c *calls) do(ctx context.Context, url, id string) (refused bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	req.Header[backend.HeaderRequest] = []string{id}
	resp, err := c.client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	switch {
	case resp.Header.Get(call.HeaderNotRun) != "":
		return true, nil
	case resp.StatusCode != http.StatusOK:
		return false, fmt.Errorf("%w: %s", errStatus, resp.Status)
	}
	return false, backend.CheckAnswer(id, resp.Body)
}

// take returns the counts by data centre so far.
func (c *calls) take() map[string]Calls {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Calls)
	for dc, n := range c.byCentre {
		out[dc] = *n
	}
	return out
}

func (n Calls) minus(o Calls) Calls {
	return Calls{n.Sent - o.Sent, n.Served - o.Served, n.Refused - o.Refused, n.Failed - o.Failed}
}

func (n Calls) plus(o Calls) Calls {
	return Calls{n.Sent + o.Sent, n.Served + o.Served, n.Refused + o.Refused, n.Failed + o.Failed}
}

// since returns the counts by data centre since an earlier take, and their sum.
func (c *calls) since(before map[string]Calls) (byCentre map[string]Calls, sum Calls) {
	byCentre = make(map[string]Calls)
	for dc, n := range c.take() {
		byCentre[dc] = n.minus(before[dc])
		sum = sum.plus(byCentre[dc])
	}
	return byCentre, sum
}

// stop ends the calls and returns how many were misrouted: run by a backend
// server of a service that their class does not name, or answered with the
// answer to another call. A node that does not hold the service of a call that
// it was sent refuses it (421) before any backend server sees it.
func (c *calls) stop() int {
	c.end()
	c.running.Wait()
	wrong := c.exchanged
	for b, service := range c.servers {
		for id, runs := range b.RunsByID() {
			if meant, _, _ := strings.Cut(id, "."); meant != service {
				wrong += runs
			}
		}
	}
	return wrong
}

package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/localmesh"
	"github.com/marlpass/marlpass/internal/settings"
)

// headerLeft says how many further backend servers a call passes.
const headerLeft = "X-Calls-Left"

// Names in the chain.
const (
	chainService = "chain"
	chainPath    = "/chain"
	chainNodes   = 5
)

// link is a backend server that passes calls on until none is left. Its next
// step goes through its node's internal listener, or straight to the next
// link, which is the baseline.
type link struct {
	server *http.Server
	addr   string
	next   string // where calls go on to
	client *http.Client
}

func newLink() (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{addr: ln.Addr().String(), client: newChainClient()}
	l.server = &http.Server{Handler: l, ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(ln) }()
	return l, nil
}

func newChainClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots, DisableCompression: true}}
}

// ServeHTTP answers, or answers what the next link answers.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	left, _ := strconv.Atoi(r.Header.Get(headerLeft))
	if left <= 0 {
		_, _ = io.WriteString(w, "done")
		return
	}
	if err := chainCall(r.Context(), l.client, l.next, left-1); err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	_, _ = io.WriteString(w, "done")
}

var errChain = errors.New("capacity: a call along the chain did not end well")

func chainCall(ctx context.Context, c *http.Client, addr string, left int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+chainPath, nil)
	if err != nil {
		return err
	}
	req.Header.Set(headerLeft, strconv.Itoa(left))
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errChain, resp.StatusCode)
	}
	return nil
}

// ChainOptions say how chains are measured.
type ChainOptions struct {
	Depths []int
	Rate   float64 // calls a second into the chain
	Calls  int     // by each way at each depth
	Turns  int
}

// DefaultChain returns the options that the page's figures are made with.
func DefaultChain() ChainOptions {
	return ChainOptions{Depths: []int{1, 2, 4, 8, 15}, Rate: 40, Calls: 200, Turns: 4}
}

// chains is a mesh whose backend servers call each other, and the same number
// of backend servers that call each other without it.
type chains struct {
	m         *localmesh.Mesh
	a         *announcer
	links     []*link // through the mesh
	direct    []*link
	client    *http.Client
	entryAddr string
}

// MeasureChain measures calls that pass through several backend servers.
func MeasureChain(ctx context.Context, o ChainOptions) ([]ChainPoint, error) {
	c, err := newChains(ctx)
	if err != nil {
		return nil, err
	}
	defer c.close()
	var out []ChainPoint
	for _, depth := range o.Depths {
		p, err := c.measure(ctx, o, depth)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return out, nil
}

func newChains(ctx context.Context) (*chains, error) {
	m, err := localmesh.Start(localmesh.Options{
		Name: "capacity", Profile: settings.ProfileTime, Log: zerolog.Nop(),
		DataCentres: []localmesh.DataCentre{{Name: "dc1", Region: "north", VMs: chainNodes}},
	})
	if err != nil {
		return nil, err
	}
	c := &chains{m: m, client: newChainClient()}
	if err := c.prepare(ctx); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *chains) prepare(ctx context.Context) error {
	if err := c.m.WaitReady(ctx); err != nil {
		return err
	}
	op, err := newOperator(c.m)
	if err != nil {
		return err
	}
	if err := op.service(ctx, chainService); err != nil {
		return err
	}
	spec := &adminapi.TargetSpec{
		Service: chainService, Match: adminapi.Match{PathPrefix: chainPath}, Idempotent: adminapi.NewOptBool(true),
	}
	if err := op.target(ctx, chainService, spec); err != nil {
		return err
	}
	if err := c.addLinks(); err != nil {
		return err
	}
	if err := c.m.WaitVersion(ctx, op.version); err != nil {
		return err
	}
	c.entryAddr = c.m.VMs[0].Node().Addrs().Callers
	return c.m.WaitEndpoints(ctx, chainService, chainNodes)
}

func (c *chains) addLinks() error {
	var list []announced
	for _, vm := range c.m.VMs {
		l, err := newLink()
		if err != nil {
			return err
		}
		l.next = vm.Node().Addrs().Internal
		c.links = append(c.links, l)
		list = append(list, announced{vm: vm, service: chainService, address: l.addr})
		d, err := newLink()
		if err != nil {
			return err
		}
		c.direct = append(c.direct, d)
	}
	for i, d := range c.direct {
		d.next = c.direct[(i+1)%len(c.direct)].addr
	}
	var err error
	c.a, err = announceAll(list)
	return err
}

func (c *chains) close() {
	if c.a != nil {
		c.a.close()
	}
	for _, list := range [][]*link{c.links, c.direct} {
		for _, l := range list {
			_ = l.server.Close()
		}
	}
	c.m.Close()
}

// measure sends calls by both ways in turns. Depth counts backend servers.
func (c *chains) measure(ctx context.Context, o ChainOptions, depth int) (ChainPoint, error) {
	p := ChainPoint{Depth: depth}
	p.Before = loadAverage()
	var mesh, direct []float64
	for range warmCalls { // dials what will be used
		if err := errors.Join(chainCall(ctx, c.client, c.entryAddr, depth-1),
			chainCall(ctx, c.client, c.direct[0].addr, depth-1)); err != nil {
			return p, err
		}
	}
	for range o.Turns {
		for _, way := range []struct {
			addr  string
			times *[]float64
		}{{c.direct[0].addr, &direct}, {c.entryAddr, &mesh}} {
			c.send(ctx, &p, o, way.addr, depth, way.times)
		}
	}
	p.Mesh, p.Direct = quanta(mesh), quanta(direct)
	p.After = loadAverage()
	return p, ctx.Err()
}

// send sends one turn's calls in an open loop.
func (c *chains) send(ctx context.Context, p *ChainPoint, o ChainOptions, addr string, depth int, times *[]float64) {
	every := time.Duration(float64(time.Second) / o.Rate)
	n := o.Calls / o.Turns
	took := make(chan float64, n)
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(i) * every)
		time.Sleep(time.Until(due))
		go func() {
			if err := chainCall(ctx, c.client, addr, depth-1); err != nil {
				took <- -1
				return
			}
			took <- micros(time.Since(due))
		}()
	}
	for range n {
		p.Calls++
		if t := <-took; t < 0 {
			p.Bad++
		} else {
			*times = append(*times, t)
		}
	}
}

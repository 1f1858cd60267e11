package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/wait"
)

// fault is something that goes wrong, or a planned stop, under load.
type fault struct {
	name    string
	planned bool
	rate    float64 // calls a second; faultRate if 0
	length  time.Duration
	mesh    faultMeshOptions
	// play brings the fault about while calls are made.
	play func(ctx context.Context, p *play)
}

// Load under which faults are played.
const (
	faultRate   = 200.0
	faultLength = 2500 * time.Millisecond
	// settle is how long runs may follow after the last answer.
	settle = 300 * time.Millisecond
	// faultBound is how long one fault may take; a mesh that does not recover
	// fails the run.
	faultBound = 40 * time.Second
)

var errTooLong = errors.New("the mesh did not recover in time")

// play is one fault being played.
type play struct {
	*faultMesh
	caller *caller
	tally  tally
	wg     sync.WaitGroup
	start  time.Time
}

// at waits until d after the beginning, and reports whether to go on.
func (p *play) at(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(time.Until(p.start.Add(d)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// call makes a call beside the others.
func (p *play) call(ctx context.Context, k *faultCall) {
	p.wg.Go(func() { p.make(ctx, k) })
}

// make makes a call and returns when it has ended.
func (p *play) make(ctx context.Context, k *faultCall) {
	began := time.Since(p.start)
	s := p.caller.do(ctx, k)
	s.began = began
	p.tally.add(s)
}

// playFault plays a fault in a mesh of its own.
func playFault(ctx context.Context, f *fault, mesh faultMeshOptions) (FaultCounts, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, faultBound, fmt.Errorf("%s: %w", f.name, errTooLong))
	defer cancel()
	m, err := startFaultMesh(ctx, mesh)
	if err != nil {
		return FaultCounts{}, fmt.Errorf("%s: %w", f.name, err)
	}
	defer m.close()
	p := &play{faultMesh: m, caller: newCaller(m.entries)}
	defer p.caller.client.CloseIdleConnections()
	p.warm(ctx)
	p.start = time.Now()
	var playing sync.WaitGroup
	if f.play != nil {
		playing.Go(func() { f.play(ctx, p) })
	}
	p.load(ctx, f)
	playing.Wait()
	p.wg.Wait()
	_ = wait.For(ctx, settle)
	c := p.tally.count(m.runs(), f.planned)
	c.EndpointsDown = m.crashed()
	for _, b := range m.backends {
		_, last := b.AfterDrain()
		c.AfterDrainS = max(c.AfterDrainS, last.Seconds())
	}
	return c, context.Cause(ctx)
}

// warm makes the first connections, uncounted.
func (p *play) warm(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range warmCalls {
		wg.Go(func() { p.caller.do(ctx, newFaultCall(classNamed("lookups"), fmt.Sprintf("warm%d", i))) })
	}
	wg.Wait()
}

// load makes calls of all classes in an open loop.
func (p *play) load(ctx context.Context, f *fault) {
	rate, length := f.rate, f.length
	if rate == 0 {
		rate = faultRate
	}
	if length == 0 {
		length = faultLength
	}
	every := time.Duration(float64(time.Second) / rate)
	for i := range int(rate * length.Seconds()) {
		if !p.at(ctx, time.Duration(i)*every) {
			return
		}
		p.call(ctx, newFaultCall(drawClass(), fmt.Sprintf("c%d", i)))
	}
}

func drawClass() *faultClass {
	n := rand.IntN(100)
	for i := range faultClasses {
		if n -= faultClasses[i].share; n < 0 {
			return &faultClasses[i]
		}
	}
	return &faultClasses[0]
}

// popular is how many different lookups there are.
const popular = 40

func newFaultCall(k *faultClass, id string) *faultCall {
	c := &faultCall{class: k, id: id, deadline: k.deadline, path: "/" + id}
	if k.method == http.MethodGet {
		c.path = fmt.Sprintf("/%d", rand.IntN(popular))
	} else {
		c.body = "body of " + id
	}
	return c
}

// newPoison returns a call that crashes each backend server that runs it. Its
// caller gives every sending a name of its own, but the request is the same.
func newPoison(caller, sending int) *faultCall {
	return &faultCall{
		class: classNamed("lookups"), id: fmt.Sprintf("poison%d-%d", caller, sending), path: "/poison",
		deadline: classNamed("lookups").deadline, header: http.Header{backend.HeaderCrash: {"1"}},
	}
}

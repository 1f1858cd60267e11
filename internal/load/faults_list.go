package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/wait"
)

// faults are all faults, in the order of the report.
var faults = []*fault{
	{name: "crash", play: playCrash},
	{name: "fast-failing endpoint", play: playMode(backend.ModeFastFail)},
	{name: "stale load", rate: 600, play: playMode(backend.ModeStale)},
	{name: "slow endpoint", play: playMode(backend.ModeSlow)},
	{name: "silent to backends", mesh: faultMeshOptions{toBackends: true}, play: playSilentBackends},
	{name: "silent between nodes", mesh: faultMeshOptions{betweenNodes: true}, play: playSilentNodes},
	{name: "drain", planned: true, length: 5 * time.Second, play: playDrain},
	{name: "rolling replacement", planned: true, length: 11 * time.Second, play: playRolling},
	{name: "poison request", length: 5 * time.Second, play: playPoison},
	{name: "resends", play: playResends},
	{name: "platform down", length: 3 * time.Second, play: playPlatform(fake.Switches{Down: true})},
	{name: "platform slow", length: 3 * time.Second, play: playPlatform(fake.Switches{Slow: 400 * time.Millisecond})},
	{name: "platform answers lost", play: playPlatform(fake.Switches{LoseRate: 0.5})},
	{name: "node killed", length: 4 * time.Second, play: playKill},
}

// playCrash lets two backend servers crash, one after the other.
func playCrash(ctx context.Context, p *play) {
	for i, d := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond} {
		if p.at(ctx, d) {
			p.backends[2*i].Crash()
		}
	}
}

// playMode makes one backend server misbehave from early on.
func playMode(m backend.Mode) func(context.Context, *play) {
	return func(ctx context.Context, p *play) {
		if p.at(ctx, 200*time.Millisecond) {
			p.backends[1].SetMode(m)
		}
	}
}

// silentAt are the moments at which connections go silent.
var silentAt = []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond}

func playSilentBackends(ctx context.Context, p *play) {
	for _, d := range silentAt {
		if p.at(ctx, d) {
			forgetAll(p.toBackend)
		}
	}
}

func playSilentNodes(ctx context.Context, p *play) {
	for _, d := range silentAt {
		if p.at(ctx, d) {
			forgetAll(p.toNode)
		}
	}
}

func forgetAll(boxes []*middlebox) {
	for _, b := range boxes {
		b.forget()
	}
}

// playDrain drains two backend servers of six.
func playDrain(ctx context.Context, p *play) {
	if !p.at(ctx, 500*time.Millisecond) {
		return
	}
	var wg sync.WaitGroup
	for _, b := range p.backends[2:4] {
		wg.Go(func() { _ = b.Drain(ctx) })
	}
	wg.Wait()
}

// playRolling replaces every node, one of each data centre at a time.
func playRolling(ctx context.Context, p *play) {
	for i := range faultVMs {
		if !p.at(ctx, 300*time.Millisecond) {
			return
		}
		var wg sync.WaitGroup
		for dc := range faultDataCentres {
			vm := p.VMs[dc*faultVMs+i]
			wg.Go(func() {
				_ = vm.Stop(ctx)
				_ = p.StartNode(vm)
			})
			_ = wait.For(ctx, 300*time.Millisecond)
		}
		wg.Wait()
		_ = p.WaitReady(ctx)
		_ = p.WaitEndpoints(ctx, service, len(p.VMs))
	}
}

// Callers of the poison request, and how far apart they begin and send again.
const (
	poisonCallers = 4
	poisonApart   = 20 * time.Millisecond
	poisonAgain   = 200 * time.Millisecond
	poisonUntil   = 4 * time.Second
)

// playPoison lets several callers send the same bad request again and again.
func playPoison(ctx context.Context, p *play) {
	var wg sync.WaitGroup
	for caller := range poisonCallers {
		wg.Go(func() {
			if !p.at(ctx, 500*time.Millisecond+time.Duration(caller)*poisonApart) {
				return
			}
			for sending := 0; time.Since(p.start) < poisonUntil && ctx.Err() == nil; sending++ {
				p.make(ctx, newPoison(caller, sending))
				_ = wait.For(ctx, poisonAgain)
			}
		})
	}
	wg.Wait()
}

// Resends: each submission takes longer than its callers wait, so that each is
// sent several times, to other entry nodes.
const (
	resentCalls    = 40
	resentPatience = 150 * time.Millisecond
	resentApart    = 40 * time.Millisecond
)

func playResends(ctx context.Context, p *play) {
	slow := *classNamed("submissions")
	slow.query = "time=400ms"
	for i := range resentCalls {
		if !p.at(ctx, time.Duration(i)*resentApart) {
			return
		}
		k := newFaultCall(&slow, fmt.Sprintf("resent%d", i))
		k.patience = resentPatience
		p.call(ctx, k)
		other := *k
		other.body = "another body"
		p.wg.Go(func() {
			_ = wait.For(ctx, resentPatience/2)
			p.make(ctx, &other)
		})
	}
}

// playPlatform makes the platform misbehave for a while.
func playPlatform(s fake.Switches) func(context.Context, *play) {
	return func(ctx context.Context, p *play) {
		if p.at(ctx, 300*time.Millisecond) {
			p.Store.Set(s)
		}
		if p.at(ctx, 1800*time.Millisecond) {
			p.Store.Set(fake.Switches{})
		}
	}
}

// playKill ends two nodes at once, as crashes do, and starts them again.
func playKill(ctx context.Context, p *play) {
	for i, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		if !p.at(ctx, d) {
			return
		}
		vm := p.VMs[3*i]
		vm.Kill()
		_ = wait.For(ctx, 500*time.Millisecond)
		_ = p.StartNode(vm)
	}
}

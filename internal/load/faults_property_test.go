package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/testseed"
)

// propertyChecks is how many sequences are drawn; each plays for a moment in a
// mesh of real nodes.
const propertyChecks = "25"

// TestMain makes every run try the same cases.
func TestMain(m *testing.M) { testseed.Main(m, testseed.Flags{"rapid.checks": propertyChecks}) }

// step is one thing that happens while calls are made.
type step struct {
	Kind string
	At   int // which backend server or node
}

var stepKinds = []string{"calls", "calls", "calls", "crash", "fail fast", "fall silent", "recover",
	"platform down", "platform loses answers", "platform recovers", "poison", "forget connections"}

// Backend servers crash, fail and fall silent, the platform goes and comes, and
// connections are forgotten, in any order. Meanwhile bookings, lookups and
// submissions are made and sent again. Whatever comes together: who was told
// "not run" was not run, what must run once did not run twice, and an answer that
// ends well is whole and the caller's own.
func TestPromisesUnderSequencesOfFaults(t *testing.T) {
	m, err := startFaultMesh(context.Background(), faultMeshOptions{betweenNodes: true})
	if err != nil {
		t.Fatal(err)
	}
	defer m.close()
	p := &play{faultMesh: m, caller: newCaller(m.entries), start: time.Now()}
	sequences := 0
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.SampledFrom(stepKinds).Draw(t, "kind"), rapid.IntRange(0, len(m.backends)-1).Draw(t, "at")}
		}), 2, 8).Draw(t, "steps")
		sequences++
		for i, s := range steps {
			p.take(s, fmt.Sprintf("s%d-%d", sequences, i))
		}
		p.wg.Wait()
		p.heal()
		p.check(t)
	})
	p.check(t) // once more: what was refused must not run later either
}

// take lets one step happen, with calls beside it.
func (p *play) take(s step, id string) {
	b := p.backends[s.At]
	switch s.Kind {
	case "crash":
		b.Crash()
	case "fail fast":
		b.SetMode(backend.ModeFastFail)
	case "fall silent":
		b.SetMode(backend.ModeSilent)
	case "recover":
		b.SetMode(backend.ModeGood)
	case "platform down":
		p.Store.Set(fake.Switches{Down: true})
	case "platform loses answers":
		p.Store.Set(fake.Switches{LoseRate: 0.5})
	case "platform recovers":
		p.Store.Set(fake.Switches{})
	case "poison":
		p.call(context.Background(), shortened(newPoison(s.At, rand.IntN(1<<30))))
	case "forget connections":
		forgetAll(p.toNode[:1+s.At])
	}
	p.burst(id)
}

// burst makes a few calls of each class, submissions twice at once.
func (p *play) burst(id string) {
	var first sync.WaitGroup
	for i, name := range []string{"lookups", "bookings", "bookings", "submissions"} {
		k := shortened(newFaultCall(classNamed(name), fmt.Sprintf("%s-%d", id, i)))
		first.Add(1)
		p.wg.Go(func() {
			first.Done()
			if k.class.keyed {
				p.makeTwice(k)
				return
			}
			p.make(context.Background(), k)
		})
	}
	first.Wait()
}

// makeTwice sends a keyed call to two nodes at once. Its caller knows what both
// sendings were told.
func (p *play) makeTwice(k *faultCall) {
	var both [2]*seen
	var wg sync.WaitGroup
	for i := range both {
		wg.Go(func() { both[i] = p.caller.do(context.Background(), k) })
	}
	wg.Wait()
	s, o := both[0], both[1]
	s.sendings += o.sendings
	s.answered = s.answered || o.answered
	s.notRun += o.notRun
	s.unknown += o.unknown
	s.failed += o.failed
	s.broken += o.broken
	s.silent += o.silent
	s.partial += o.partial
	p.tally.add(s)
}

// shortDeadline keeps silent backend servers from making the test long.
const shortDeadline = 150 * time.Millisecond

func shortened(k *faultCall) *faultCall {
	k.deadline = shortDeadline
	return k
}

func (p *play) heal() {
	p.Store.Set(fake.Switches{})
	for _, b := range p.backends {
		b.SetMode(backend.ModeGood)
	}
}

type failer interface {
	Fatalf(format string, args ...any)
}

func (p *play) check(t failer) {
	c := p.tally.count(p.runs(), false)
	if c.Doubled+c.Partial+c.FalseNotRun > 0 {
		t.Fatalf("doubled %d, partial %d, false not run %d: %v", c.Doubled, c.Partial, c.FalseNotRun, c.notes)
	}
}

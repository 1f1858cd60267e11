package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/agenda"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/testseed"
)

// TestMain fixes the seed of the properties, so that they give the same verdict
// in every run, and their number, unless a flag gives another.
func TestMain(m *testing.M) { testseed.Main(m, nil) }

var (
	errLost = errors.New("lost")
	epoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// mesh joins several States by a network of its own in virtual time. It can
// lose, delay, double and reorder messages, part nodes, pause and restart
// them.
type mesh struct {
	now    time.Time
	rnd    *rand.Rand
	nodes  []*vm
	byAddr map[string]*vm
	events agenda.EventQueue

	loss, double float64
	delayMax     time.Duration
	parted       func(a, b *vm) bool
	configure    func(*Config)

	messages  uint64
	bytes     uint64 // of messages, both ways, without overhead
	delivered func(to *vm, m *peerpb.Membership)
}

// vm is one node of the mesh; restarts give it a new state.
type vm struct {
	*State
	info   VM
	index  int
	up     bool
	paused bool
	life   int
}

// newMesh makes n nodes, spread over the data centres in turn. Two thirds of
// the data centres are in one region.
func newMesh(n, centres int, configure func(*Config)) *mesh {
	w := &mesh{
		now:       epoch,
		rnd:       rand.New(rand.NewPCG(1, uint64(n))),
		byAddr:    map[string]*vm{},
		delayMax:  5 * time.Millisecond,
		configure: configure,
	}
	for i := range n {
		dc := i % centres
		w.add(fmt.Sprintf("vm-%08x-%d", w.rnd.Uint32(), i), fmt.Sprintf("dc-%d", dc), fmt.Sprintf("region-%d", dc*3/(2*centres)))
	}
	return w
}

func (w *mesh) add(id, dc, region string) *vm {
	host := fmt.Sprintf("10.%d.%d.%d", w.rnd.IntN(256), len(w.nodes)/250, len(w.nodes)%250)
	v := &vm{
		info: VM{
			ID: id, Region: region, DataCentre: dc,
			ControlAddr: host + ":7000", CallAddr: host + ":7001", AdminAddr: host + ":7002",
		},
		index: len(w.nodes),
	}
	w.nodes = append(w.nodes, v)
	w.byAddr[v.info.ControlAddr] = v
	w.start(v)
	return v
}

// start gives a node empty memory.
func (w *mesh) start(v *vm) {
	cfg := DefaultConfig(v.info)
	for _, o := range w.nodes {
		if o != v && len(cfg.Seeds) < 3 {
			cfg.Seeds = append(cfg.Seeds, o.info.ControlAddr)
		}
	}
	if w.configure != nil {
		w.configure(&cfg)
	}
	v.life++
	v.up, v.paused = true, false
	v.State = New(cfg, w.now, rand.New(rand.NewPCG(uint64(v.index), uint64(v.life))))
	w.tickLater(v, v.life)
}

func (w *mesh) tickLater(v *vm, life int) {
	phase := time.Duration(v.index%100) * time.Millisecond
	w.at(w.now.Truncate(tickEvery).Add(tickEvery+phase), func() {
		if v.life != life || !v.up {
			return
		}
		if !v.paused {
			w.drive(v)
		}
		w.tickLater(v, life)
	})
}

func (w *mesh) at(t time.Time, run func()) {
	w.events.Schedule(t, func(time.Time) { run() })
}

func (w *mesh) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

func (w *mesh) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rnd.Int64N(int64(w.delayMax)))
}

// run lets virtual time go on.
func (w *mesh) run(d time.Duration) {
	end := w.now.Add(d)
	for at, do, ok := w.events.Next(end); ok; at, do, ok = w.events.Next(end) {
		w.now = at
		do(at)
	}
	w.now = end
}

// runUntil runs until the condition holds and returns how long it took; it
// gives up after limit.
func (w *mesh) runUntil(limit time.Duration, done func() bool) (time.Duration, bool) {
	begin := w.now
	for w.now.Sub(begin) < limit {
		if done() {
			return w.now.Sub(begin), true
		}
		w.run(tickEvery)
	}
	return limit, done()
}

func (w *mesh) drive(v *vm) {
	for _, s := range v.Tick(w.now) {
		w.deliver(v, s)
	}
}

func (w *mesh) lost(a, b *vm) bool {
	return b == nil || !b.up || b.paused || (w.parted != nil && w.parted(a, b)) || w.rnd.Float64() < w.loss
}

// deliver carries a request, perhaps twice, and its answer back.
func (w *mesh) deliver(from *vm, s OutgoingRequest) {
	life := from.life
	w.count(s.Msg)
	w.after(s.Timeout, func() { // a second report of the outcome is ignored
		w.report(from, life, func() { from.HandleFailure(w.now, s.ID, errLost) })
	})
	copies := 1
	if w.rnd.Float64() < w.double {
		copies = 2
	}
	for range copies {
		w.after(w.delay(), func() { w.arrive(from, life, s) })
	}
}

func (w *mesh) arrive(from *vm, life int, s OutgoingRequest) {
	to := w.byAddr[s.Addr]
	if w.lost(from, to) {
		return
	}
	ans := to.HandleRequest(w.now, s.Msg.GetFrom(), s.Msg)
	w.delivery(to, s.Msg)
	w.drive(to)
	w.count(ans)
	w.after(w.delay(), func() {
		if !w.lost(to, from) {
			w.report(from, life, func() { from.HandleAnswer(w.now, s.ID, ans); w.delivery(from, ans) })
		}
	})
}

func (w *mesh) report(v *vm, life int, f func()) {
	if v.life == life && v.up && !v.paused {
		f()
		w.drive(v)
	}
}

func (w *mesh) delivery(to *vm, m *peerpb.Membership) {
	if w.delivered != nil {
		w.delivered(to, m)
	}
}

func (w *mesh) count(m *peerpb.Membership) {
	w.messages++
	w.bytes += uint64(proto.Size(m))
}

// settled tells whether every running node sees exactly the running nodes, all
// alive, in their own latest records.
func (w *mesh) settled() bool { return w.unsettled() == "" }

func (w *mesh) unsettled() string {
	up := 0
	for _, v := range w.nodes {
		if v.up && v.self.State == VMAlive {
			up++
		}
	}
	for _, v := range w.nodes {
		if !v.up {
			continue
		}
		view := v.View(w.now)
		seen := 0
		for id, r := range view.Records {
			if r.State != VMLeaving {
				seen++
			}
			o := w.byAddr[r.VM.ControlAddr]
			if id != o.info.ID || r.State == VMSuspect || !o.up || r.stamp() != o.self.stamp() {
				return fmt.Sprintf("%s sees %s as state %d at %v, up %v, own %v",
					v.info.ID, id, r.State, r.stamp(), o.up, o.self.stamp())
			}
		}
		if v.self.State == VMAlive && seen != up {
			return fmt.Sprintf("%s sees %d of %d", v.info.ID, seen, up)
		}
	}
	return ""
}

func (w *mesh) stop(v *vm) { v.up = false }

package limit

import (
	"cmp"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var figures = flag.Bool("figures", false, "print the measurements")

// skipUnlessAsked leaves out the tables, which check nothing and take long.
func skipUnlessAsked(t *testing.T) {
	t.Helper()
	if !*figures {
		t.Skip("prints tables only; run with -figures")
	}
}

const simLasts = 20 * time.Second

// policy is one way to run the queue, as the tables compare them.
type policy struct {
	name    string
	options func() QueueOptions
	share   float64 // of the archive class
	// heeds says that refused callers wait for RetryAfter.
	heeds bool
	seed  uint64        // one when zero
	lasts time.Duration // simLasts when zero
}

func plain(o Order) func() QueueOptions {
	return func() QueueOptions {
		return QueueOptions{Order: o, FixedLimit: true, NoYielding: true, NoPrediction: true}
	}
}

func whole(o Order) func() QueueOptions {
	return func() QueueOptions { return QueueOptions{Order: o} }
}

// baseline is a fixed limit and one queue, first come, first served.
func baseline() policy {
	return policy{name: "fixed limit, FCFS", options: plain(FirstComeFirstServed{})}
}

func ours(share float64) policy {
	name := "ours"
	if share > 0 {
		name = fmt.Sprintf("ours, archive share %.2f", share)
	}
	return policy{name: name, options: whole(nil), share: share, heeds: true}
}

func (p policy) simulate(load float64, attempts int, flood map[string]float64) simResult {
	s := simulation{
		classes: withShare(usualMix(), "archive", p.share),
		slots:   6, real: 6, load: load, flood: flood, lasts: cmp.Or(p.lasts, simLasts),
		seed: max(p.seed, 1), attempts: attempts, options: p.options(),
	}
	if !p.heeds {
		s.retryEvery = 100 * time.Millisecond
	}
	return s.run()
}

func row(name string, r simResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-26s %5.1f%%", name, 100*r.useful)
	for _, class := range []string{"lookups", "bookings", "archive"} {
		c := r.classes[class]
		fmt.Fprintf(&b, " | %5.1f %5.1f %6s %6s", percent(c.answered, c.offered), percent(c.onTarget, c.answered),
			short(c.quantile(0.5)), short(c.quantile(0.99)))
	}
	return b.String()
}

const tableHead = "policy                     useful | lookups: answered, on target, p50, p99 | bookings | archive"

func percent(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return 100 * float64(n) / float64(of)
}

func short(d time.Duration) string {
	if d < time.Second {
		return fmt.Sprintf("%dms", d.Milliseconds())
	}
	return fmt.Sprintf("%.1fs", d.Seconds())
}

// TestOverloadFigures prints our policies against the baseline.
//
//	go test ./internal/limit -run OverloadFigures -v -figures
func TestOverloadFigures(t *testing.T) {
	skipUnlessAsked(t)
	for _, attempts := range []int{1, 4} {
		for _, load := range []float64{0.5, 1, 2, 4} {
			t.Logf("load %.1fx, attempts a call %d\n%s", load, attempts, tableHead)
			for _, p := range []policy{baseline(), ours(0), ours(0.2)} {
				t.Log(row(p.name, p.simulate(load, attempts, nil)))
			}
		}
	}
}

func orders() []policy {
	fast := relativeWait{multiple: 3, floor: 20 * time.Millisecond}
	var ps []policy
	for _, o := range []struct {
		name string
		make func() Order
	}{
		{"first come", func() Order { return FirstComeFirstServed{} }},
		{"earliest target", func() Order { return EarliestTarget{} }},
		{"shortest first", func() Order { return shortestFirst{} }},
		{"relative wait", func() Order { return fast }},
		{"fairway, weight 4", func() Order { return &fairway{fast: fast, weight: 4} }},
		{"fairway, weight 1", func() Order { return &fairway{fast: fast, weight: 1} }},
		{"relative wait to target", func() Order { return relativeToTarget{} }},
		{"earliest target, cap 2", func() Order { return &OvertakingCap{Inner: EarliestTarget{}, Weight: 2} }},
		{"earliest target, cap 1", func() Order { return &OvertakingCap{Inner: EarliestTarget{}} }},
		{"earliest target, cap 4", func() Order { return &OvertakingCap{Inner: EarliestTarget{}, Weight: 4} }},
		{"earliest target, cap 1/4", func() Order { return &OvertakingCap{Inner: EarliestTarget{}, Weight: 0.25} }},
	} {
		ps = append(ps, policy{name: o.name, options: func() QueueOptions { return plain(o.make())() }})
	}
	return ps
}

var floods = []struct {
	name  string
	loads map[string]float64
}{
	{"lookups flood at 3x of all capacity", map[string]float64{"lookups": 10}},
	{"archive flood at 3x of all capacity", map[string]float64{"archive": 10}},
}

// TestOrderFigures prints the orders against each other, alone and with the
// other policies on.
//
//	go test ./internal/limit -run OrderFigures -v -figures
func TestOrderFigures(t *testing.T) {
	skipUnlessAsked(t)
	for _, all := range []bool{false, true} {
		for _, load := range []float64{0.5, 0.9, 1, 2, 4} {
			t.Logf("load %.1fx, other policies on: %v\n%s", load, all, tableHead)
			for _, p := range orders() {
				t.Log(row(p.name, p.with(all).simulate(load, 1, nil)))
			}
		}
		for _, f := range floods {
			t.Logf("%s, other policies on: %v\n%s", f.name, all, tableHead)
			for _, p := range orders() {
				t.Log(row(p.name, p.with(all).simulate(0.5, 1, f.loads)))
			}
		}
	}
}

// with turns the other policies on.
func (p policy) with(all bool) policy {
	if !all {
		return p
	}
	inner := p.options
	p.options = func() QueueOptions { return QueueOptions{Order: inner().Order} }
	return p
}

// TestOrderScores sums the orders up over all loads and floods and five seeds,
// with the other policies on: the answers on target of each class per call
// offered, and the worst that any load did to a class.
//
//	go test ./internal/limit -run OrderScores -v -figures
func TestOrderScores(t *testing.T) {
	skipUnlessAsked(t)
	t.Log("order                      met/offered: lookups bookings archive mean | worst met/offered, worst on target/answered | useful")
	for _, p := range orders() {
		t.Log(scoreOf(p.with(true)))
	}
}

func scoreOf(p policy) string {
	met, offered := make(map[string]int), make(map[string]int)
	worstMet, worstOnTarget, useful, runs := 100.0, 100.0, 0.0, 0
	take := func(r simResult) {
		useful += r.useful
		runs++
		for name, c := range r.classes {
			met[name] += c.onTarget
			offered[name] += c.offered
			worstMet = min(worstMet, percent(c.onTarget, c.offered))
			if c.answered > 0 {
				worstOnTarget = min(worstOnTarget, percent(c.onTarget, c.answered))
			}
		}
	}
	for seed := range uint64(5) {
		p.seed = seed + 1
		for _, load := range []float64{0.9, 1, 2, 4} {
			take(p.simulate(load, 1, nil))
		}
		for _, f := range floods {
			take(p.simulate(0.5, 1, f.loads))
		}
	}
	l, b, a := percent(met["lookups"], offered["lookups"]), percent(met["bookings"], offered["bookings"]), percent(met["archive"], offered["archive"])
	return fmt.Sprintf("%-26s %5.1f %5.1f %5.1f %5.1f | %5.1f %5.1f | %5.1f%%", p.name, l, b, a, (l+b+a)/3, worstMet, worstOnTarget, 100*useful/float64(runs))
}

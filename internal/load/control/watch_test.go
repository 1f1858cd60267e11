package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/node"
)

// chain returns versions 0 to n of a history.
func chain(t *testing.T, n int, note string) []*config.Snapshot {
	t.Helper()
	out := []*config.Snapshot{config.Empty()}
	for i := range n {
		next, _, err := out[i].Next([]config.Object{
			config.EncodeService(config.Service{Name: fmt.Sprintf("%s-%d", note, i), Team: team}),
		}, nil)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, next)
	}
	return out
}

// look is one observation of a VM: the start of its node, and what it runs.
type look struct {
	process int
	carries bool
	version int
}

func TestStepsBackAreCounted(t *testing.T) {
	vs := chain(t, 3, "s")
	for _, c := range []struct {
		name  string
		looks []look
		want  int
	}{
		{"forwards", []look{{1, true, 0}, {1, true, 1}, {1, true, 3}}, 0},
		{"back", []look{{1, true, 2}, {1, true, 1}, {1, true, 2}}, 1},
		{"back before it carries", []look{{1, false, 2}, {1, false, 1}}, 1},
		{"back twice", []look{{1, true, 3}, {1, true, 2}, {1, true, 1}}, 2},
		{"seen twice", []look{{1, true, 2}, {1, true, 1}, {1, true, 1}}, 1},
		{"restarted, empty, waits", []look{{1, true, 2}, {2, false, 0}, {2, false, 2}, {2, true, 2}}, 0},
		{"restarted and serves an older one", []look{{1, true, 2}, {2, false, 0}, {2, false, 1}, {2, true, 1}}, 1},
		{"restarted after it only held a newer one", []look{{1, false, 2}, {2, true, 1}}, 0},
	} {
		w := &watch{versions: make(map[uint64]sent), whole: make(map[*config.Snapshot]config.Version)}
		s := &seen{first: make(map[uint64]time.Time)}
		for i, l := range c.looks {
			v := vs[l.version]
			w.note(s, time.Unix(int64(i), 0), l.process, node.ServingState{TakesCalls: l.carries, Snapshot: v, ProgramVersion: v.Version()})
		}
		if w.wentBack != c.want {
			t.Errorf("%s: %d steps back, want %d", c.name, w.wentBack, c.want)
		}
	}
}

func TestVersionsThatAreNotWholeAreCounted(t *testing.T) {
	vs, others := chain(t, 2, "s"), chain(t, 2, "x")
	for _, c := range []struct {
		name    string
		held    *config.Snapshot
		program config.Version
		want    int
	}{
		{"whole", vs[2], vs[2].Version(), 0},
		{"empty", vs[0], vs[0].Version(), 0},
		{"calls run by another version", vs[2], vs[1].Version(), 1},
		{"never accepted", others[2], others[2].Version(), 1},
	} {
		w := &watch{versions: make(map[uint64]sent), whole: make(map[*config.Snapshot]config.Version)}
		for _, v := range vs[1:] {
			w.accept([]sent{{v.Version(), time.Time{}}})
		}
		w.whole[c.held] = c.program
		if got := w.halfApplied(); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}

// A version counts as in force once it or a newer one is.
func TestDelays(t *testing.T) {
	vs := chain(t, 3, "s")
	w := &watch{
		whole: make(map[*config.Snapshot]config.Version),
		seen:  []seen{{first: make(map[uint64]time.Time)}, {first: make(map[uint64]time.Time)}},
	}
	for i, at := range []int64{0, 1, 0, 4} {
		if i != 2 { // skipped by the first
			w.note(&w.seen[0], time.Unix(at, 0), 1, node.ServingState{Snapshot: vs[i]})
		}
	}
	w.note(&w.seen[1], time.Unix(2, 0), 1, node.ServingState{Snapshot: vs[1]})
	got, missing := w.delays([]sent{{vs[1].Version(), time.Unix(0, 0)}, {vs[2].Version(), time.Unix(1, 0)}})
	if missing != 1 || quantile(got, 0) != 1000 || quantile(got, 0.5) != 2000 || quantile(got, 1) != 3000 {
		t.Errorf("got %v, %d missing", got, missing)
	}
}

func TestPeakIsOverAnySecond(t *testing.T) {
	var p peak
	for i := range 40 {
		v := float64(i) // 10 a second
		if i >= 20 {
			v += 100 // at once
		}
		p.add(v)
	}
	p.add(0) // began anew
	p.add(50)
	if p.highest != 110 {
		t.Errorf("got %v", p.highest)
	}
}

package command

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// told is all that an operator was told of one command.
type told struct {
	cmd     Command
	results []Result
}

// script is what one operator does, drawn before the race.
type script struct {
	useBase  bool
	withdraw bool
	name     string
	resends  []int // to which committer it is sent again, while not final
}

func drawScripts(t *rapid.T, committers int) []script {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) script {
		return script{
			useBase:  rapid.Bool().Draw(t, "base"),
			withdraw: rapid.IntRange(0, 3).Draw(t, "withdraw") == 0,
			name:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
			resends:  rapid.SliceOfN(rapid.IntRange(0, committers-1), 1, 3).Draw(t, "resends"),
		}
	}), 1, 3).Draw(t, "scripts")
}

// operate sends the commands of the scripts, each again while its outcome is
// not final.
func operate(who int, scripts []script, nodes []*Committer, out *[]*told) {
	for i, s := range scripts {
		cmd := set(fmt.Sprintf("c%d-%d", who, i), 0)
		if s.withdraw {
			cmd.Unset = []config.Key{{Kind: config.KindService, Name: s.name}}
		} else {
			cmd.Set = []config.Object{service(s.name, cmd.ID)}
		}
		if s.useBase {
			cmd.Base = nodes[s.resends[0]].reader.Known().Number
		}
		r := &told{cmd: cmd}
		*out = append(*out, r)
		for _, n := range s.resends {
			res := nodes[n].Submit(context.Background(), cmd)
			r.results = append(r.results, res)
			if res.Outcome != Unknown && !res.Reason.Retryable() {
				break
			}
			cmd.Repeat = cmd.Repeat || res.Outcome == Unknown
		}
	}
}

// Operators on three nodes race each other while the platform fails, loses
// answers, delivers writes late and shows stale rows, and while two holders of
// the compaction lease overlap. Whatever the order: no command takes effect
// twice, none that was told as accepted is lost, none that was told as refused
// takes effect, and what was unknown is settled by sending it again.
func TestRacingCommits(t *testing.T) {
	outcomes := map[Outcome]int{}
	reasons := map[Reason]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFlaky()
		s := &turns{parked: make(chan *worker)}
		var nodes []*Committer
		for range 3 {
			_, c := node(f)
			nodes = append(nodes, c)
		}
		all := make([][]*told, len(nodes))
		for i := range nodes {
			scripts := drawScripts(t, len(nodes))
			s.start(func() { operate(i, scripts, nodes, &all[i]) })
		}
		for range 2 {
			s.start(func() { compactSome(f) })
		}
		s.run(t, f)
		for len(f.pending) > 0 {
			f.flush()
		}
		var every []*told
		for _, ts := range all {
			every = append(every, ts...)
		}
		for _, r := range every {
			for _, res := range r.results {
				outcomes[res.Outcome]++
				reasons[res.Reason]++
			}
		}
		checkHistory(t, f, every)
	})
	t.Log(outcomes, reasons)
	for _, o := range []Outcome{Accepted, Refused, Unknown} {
		if outcomes[o] == 0 {
			t.Errorf("no run came to %s: the property shows nothing about it", o)
		}
	}
}

func compactSome(f *flaky) {
	r := NewReader(f, f.Objects(), SnapshotFunc(config.Empty))
	c := NewCompactor(r, f, f.Objects(), CompactOptions{KeepLog: 2, Batch: 2})
	fence := takeLease(f)
	for range 8 {
		_, _ = c.Step(context.Background(), fence, time.UnixMilli(1_000_000))
	}
}

// checkHistory replays the log from version zero and compares it with what the
// operators were told.
func checkHistory(t *rapid.T, f *flaky, every []*told) {
	if f.rewrote {
		t.Fatal("a version was written twice")
	}
	r, c := node(f)
	head, err := r.Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	byCommand, deltas := replay(t, f, head)
	if s, err := r.Snapshot(context.Background(), head); err != nil || s.Version() != head.Version {
		t.Fatalf("a node that starts anew can't get the head: %v", err)
	}
	for _, x := range every {
		checkTold(t, x, byCommand, deltas)
		again := x.cmd
		again.Repeat = true
		d := byCommand[x.cmd.ID]
		res := c.Submit(context.Background(), again)
		if res.Outcome == Unknown || d != nil && (res.Outcome != Accepted || res.Version != d.To) {
			t.Fatalf("%s stays unsettled: %+v, log has %+v", x.cmd.ID, res, d)
		}
		if last := x.results[len(x.results)-1]; last.Outcome == Accepted && res.Version != last.Version {
			t.Fatalf("%s was accepted as %s and then as %s", x.cmd.ID, last.Version, res.Version)
		}
	}
}

func replay(t *rapid.T, f *flaky, head Head) (map[string]*config.Delta, []*config.Delta) {
	byCommand := map[string]*config.Delta{}
	var deltas []*config.Delta
	s := config.Empty()
	for n := uint64(1); n <= head.Version.Number; n++ {
		key := platform.LogKey(n)
		d, err := decodeDelta(platform.Row{Key: key, Value: []byte(f.log[key])})
		if err != nil {
			t.Fatal(err)
		}
		if s, err = d.Apply(s); err != nil {
			t.Fatalf("version %d does not follow: %v", n, err)
		}
		if byCommand[d.Command] != nil {
			t.Fatalf("%s took effect twice", d.Command)
		}
		byCommand[d.Command] = d
		deltas = append(deltas, d)
	}
	if s.Version() != head.Version || uint64(len(f.log)) != head.Version.Number {
		t.Fatalf("the log leads to %s with %d rows, the head is %s", s.Version(), len(f.log), head.Version)
	}
	return byCommand, deltas
}

func checkTold(t *rapid.T, x *told, byCommand map[string]*config.Delta, deltas []*config.Delta) {
	d := byCommand[x.cmd.ID]
	passing := true
	for _, res := range x.results {
		switch {
		case res.Outcome == Accepted && !res.Unchanged && (d == nil || d.To != res.Version):
			t.Fatalf("%s was accepted as %s and is lost", x.cmd.ID, res.Version)
		case res.Outcome == Refused && !res.Reason.Retryable() && d != nil:
			t.Fatalf("%s was refused (%s) and took effect", x.cmd.ID, res.Reason)
		}
		passing = passing && res.Outcome == Refused && res.Reason.Retryable()
	}
	if passing && d != nil {
		t.Fatalf("%s was told each time to have had no effect, and took effect", x.cmd.ID)
	}
	if d == nil || x.cmd.Base == 0 {
		return
	}
	for _, other := range deltas[x.cmd.Base : d.To.Number-1] {
		if cs := conflicts(&x.cmd, []*config.Delta{other}, nil, config.Empty()); len(cs) > 0 {
			t.Fatalf("%s overwrote %s, which its operator had not seen", x.cmd.ID, other.Command)
		}
	}
}

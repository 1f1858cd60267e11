package localmesh

import (
	"fmt"
	"sync"
	"testing"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/node"
)

// What a caller would see: a VM restarts while the platform is down and serves
// by the version of an hour ago, or by none. It keeps nothing on disk, so its
// peers tell it what they saw it run, and it carries traffic only with that.
func TestRestartWithoutDiskWhileThePlatformIsDown(t *testing.T) {
	m := ready(t, options(three...))
	var v config.Version
	for _, s := range []string{"a", "b", "c"} {
		v = m.accepted(m.VMs[1], m.stated(s))
	}
	m.inForce(v)
	m.Store.Down(true)
	vm := m.VMs[3]
	vm.Kill()
	m.must(m.StartNode(vm))
	for carries := false; !carries; {
		h := vm.Node().ServingState()
		if carries = h.TakesCalls; carries && h.Snapshot.Version() != v {
			t.Fatalf("carries traffic with %s instead of %s", h.Snapshot.Version(), v)
		}
		m.must(m.ctx.Err())
	}
}

// other commits changes straight to the platform, as the mesh that followed
// the restored backup would have.
func (m *testMesh) other(services ...string) {
	m.t.Helper()
	table, objects := m.Store.Table(), m.Store.Objects()
	c := command.NewCommitter(command.NewReader(table, objects, command.SnapshotFunc(config.Empty)), table, command.Options{})
	for _, s := range services {
		if res := c.Submit(m.ctx, m.stated(s)); res.Outcome != command.Accepted {
			m.t.Fatalf("got %+v", res)
		}
	}
}

// What an operator would see: the platform's table is restored from a backup,
// and changes are made on it. The mesh runs versions that the backup lacks; the
// new ones have the same numbers and other content. Nodes that went by numbers
// would drop what is in force without a word. They have to keep it and say so,
// and refuse changes until it is settled which history holds.
func TestTwoHistoriesAreReportedAndNeverFollowed(t *testing.T) {
	m := ready(t, options(three...))
	m.inForce(m.accepted(m.VMs[0], m.stated("a")))
	backup := m.Store.Fork()
	v := m.accepted(m.VMs[0], m.stated("b"))
	m.inForce(v)
	kept := m.Store.Fork()
	m.Store.Restore(backup)
	m.other("x", "y", "z")
	ds := m.log()
	followed := ds[len(ds)-1].To

	reports := func() bool {
		for _, n := range m.Nodes() {
			if len(n.Conflicts()) > 0 {
				return true
			}
		}
		return false
	}
	m.wait("a report", func(*node.Node) bool { return reports() })
	res := m.VMs[2].Node().Submit(m.ctx, m.stated("c"))
	if res.Outcome != command.Refused || res.Reason != command.ReasonOtherHistory {
		t.Errorf("a change: got %s, %s %s", res.Outcome, res.Reason, res.Detail)
	}
	vm := m.VMs[4]
	vm.Kill()
	m.must(m.StartNode(vm))
	m.wait("the restarted node reports", func(*node.Node) bool {
		n := vm.Node()
		if h := n.ServingState(); h.TakesCalls && h.Snapshot.Version() != v {
			t.Fatalf("a restarted node carries traffic with %s", h.Snapshot.Version())
		}
		ok, _ := n.Ready()
		return ok || len(n.Conflicts()) > 0
	})
	for _, other := range m.VMs {
		if other != vm && other.Node().Version() != v {
			t.Errorf("%s followed to %s", other.ID, other.Node().Version())
		}
	}
	m.Store.Restore(kept)
	next := m.accepted(m.VMs[0], m.stated("d"))
	m.wait("the right history goes on", func(n *node.Node) bool {
		ok, _ := n.Ready()
		if n == vm.Node() && n.Version() == followed {
			return !ok // it asked the platform first, and has to be started again
		}
		return ok && n.Version() == next
	})
}

// What an operator would see: "accepted" for a change that is in no version, or
// a change of another operator that theirs took away. Operators in three data
// centres send changes at once, one data centre is cut off from the platform,
// and the platform loses answers after the write. Each sends its command again
// under its ID until the outcome is known.
func TestOperatorsRacingFromThreeDataCentres(t *testing.T) {
	const each = 4
	m := ready(t, options(three...))
	m.Cuts.Part(Refused, "dc3", Platform)
	m.Store.LoseAnswers(0.3)
	var commands []command.Command
	for i := range each * len(three) {
		commands = append(commands, m.stated(fmt.Sprintf("s%d", i)))
	}
	results := make([]command.Result, len(commands))
	var racing sync.WaitGroup
	for op := range len(three) {
		racing.Go(func() {
			for i := op; i < len(commands); i += len(three) {
				results[i] = m.settle(m.VMs[2*op+i%2], commands[i])
			}
		})
	}
	racing.Wait()
	m.Store.LoseAnswers(0)
	m.Cuts.HealAll()
	byVersion := make(map[uint64]string)
	for i, res := range results {
		if res.Outcome != command.Accepted {
			t.Fatalf("%s: got %s, %s %s", commands[i].ID, res.Outcome, res.Reason, res.Detail)
		}
		if other, taken := byVersion[res.Version.Number]; taken {
			t.Errorf("%s and %s are both version %d", other, commands[i].ID, res.Version.Number)
		}
		byVersion[res.Version.Number] = commands[i].ID
	}
	ds := m.log()
	if len(ds) != len(commands) {
		t.Fatalf("%d versions of %d commands", len(ds), len(commands))
	}
	for _, d := range ds {
		if byVersion[d.To.Number] != d.Command {
			t.Errorf("version %d holds %s, and was answered to %s", d.To.Number, d.Command, byVersion[d.To.Number])
		}
	}
	m.inForce(ds[len(ds)-1].To)
	for i := range commands {
		if m.VMs[0].Node().ServingState().Snapshot.Service(fmt.Sprintf("s%d", i)) == nil {
			t.Errorf("s%d is lost", i)
		}
	}
}

// settle sends a command until its outcome is known for good.
func (m *testMesh) settle(vm *VM, cmd command.Command) command.Result {
	for {
		res := vm.Node().Submit(m.ctx, cmd)
		known := res.Outcome == command.Accepted || (res.Outcome == command.Refused && !res.Reason.Retryable())
		if known || m.ctx.Err() != nil {
			return res
		}
		cmd.Repeat = true
	}
}

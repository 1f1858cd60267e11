package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// noisyWorkspace simulates a class of many workspaces, one of which sends half of all calls. With
// hideWorkspaces the queue does not know the workspaces.
func noisyWorkspace(load float64, seed uint64, hideWorkspaces bool) simulation {
	const quiet = 40
	s := previews(load, false)
	s.seed = seed
	s.senders = []simSender{{Caller{Workspace: "hot"}, 0.5}}
	for i := range quiet {
		s.senders = append(s.senders, simSender{Caller{Workspace: fmt.Sprint("quiet-", i)}, 0.5 / quiet})
	}
	s.hideWorkspaces = hideWorkspaces
	return s
}

// inTimeShares returns the shares of calls answered in time, for the hot workspace and for all
// others together.
func (r simResult) inTimeShares() (hot, others float64) {
	var inTime, offered int
	for name, cr := range r.senders {
		if name != "hot" {
			inTime += cr.inTime
			offered += cr.offered
		}
	}
	h := r.senders["hot"]
	return float64(h.inTime) / float64(h.offered), float64(inTime) / float64(offered)
}

// Guards against a workspace that sends many times its usual load: the calls of the others must
// not be answered in time less often than without fairness.
func TestNoisyWorkspaceDoesNotDelayOthers(t *testing.T) {
	for _, load := range []float64{1.25, 1.6} {
		for seed := range uint64(5) {
			_, unfair := noisyWorkspace(load, seed, true).run().inTimeShares()
			hot, others := noisyWorkspace(load, seed, false).run().inTimeShares()
			calm := previews(load/2, false)
			calm.seed = seed
			c := calm.run().classes["previews"]
			alone := float64(c.inTime) / float64(c.offered)
			t.Logf("load %.2f seed %d: in time %.3f of the hot workspace's calls, %.3f of the others' (%.3f without fairness, %.3f alone)", load, seed, hot, others, unfair, alone)
			if others < unfair {
				t.Errorf("load %.2f: the other workspaces are served worse than without fairness", load)
			}
		}
	}
}

func workspaceEntry(workspace string, priority int) *Entry {
	return &Entry{Caller: Caller{Workspace: workspace, Priority: priority}}
}

// Guards a full queue: a call of a workspace with a higher priority displaces one of a workspace
// with a lower priority, whatever the priorities of their classes.
func TestWorkspacePriorityOverridesClassPriority(t *testing.T) {
	q := newTestQueue(Config{Slots: 1, MaxWaiting: 1, Classes: []Class{{Name: "high", Priority: 9}, {Name: "low", Priority: 1}}})
	offer(t, q, at(0), "high")
	lower := workspaceEntry("a", 2)
	if r := q.Offer(at(0), lower, "high", time.Time{}); r != nil {
		t.Fatal(r)
	}
	wantReason(t, q.Offer(at(0), workspaceEntry("b", 1), "high", time.Time{}), call.ReasonOverloaded)
	higher := workspaceEntry("c", 3)
	if r := q.Offer(at(0), higher, "low", time.Time{}); r != nil {
		t.Fatal(r)
	}
	events := q.Events()
	if len(events) != 1 || events[0].Entry != lower || events[0].Refusal == nil {
		t.Errorf("events %v: the call of the lower priority was not displaced", events)
	}
}

// Guards the order of one-shot calls: the workspace with the highest priority comes first.
func TestOneShotCallsStartByWorkspacePriority(t *testing.T) {
	q := newTestQueue(Config{Slots: 1, Classes: []Class{{Name: "x"}}})
	running := offer(t, q, at(0), "x")
	var entries []*Entry
	for _, p := range []int{0, 3, 9, 3} {
		e := workspaceEntry(fmt.Sprint("w", p), p)
		e.OneShot = true
		if r := q.Offer(at(0), e, "x", time.Time{}); r != nil {
			t.Fatal(r)
		}
		entries = append(entries, e)
	}
	for _, i := range []int{2, 0, 1, 3} { // the class has priority 5
		q.Done(at(time.Second), running, Result{Latency: time.Second})
		running = entries[i]
		if !running.Started() {
			t.Fatalf("call %d was not started next", i)
		}
	}
}

// Guards against a leak of workspace counts: none is left once no call waits or runs.
func TestIdleWorkspacesAreNotCounted(t *testing.T) {
	r := noisyWorkspace(1.6, 1, false).run()
	for _, c := range r.queue.ordered {
		if n := len(c.workspaces.byName); n != 0 {
			t.Errorf("class %q keeps counts of %d workspaces", c.Name, n)
		}
	}
}

package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
)

// noisy is a class of many workspaces, one of which sends several times its usual. The queue is
// told of no workspace if unknown is set.
func noisy(load float64, seed uint64, unknown bool) simulation {
	const quiet = 40
	s := previews(load, false)
	s.seed = seed
	s.senders = []simSender{{Caller{Workspace: "hot"}, 0.5}}
	for i := range quiet {
		s.senders = append(s.senders, simSender{Caller{Workspace: fmt.Sprint("quiet-", i)}, 0.5 / quiet})
	}
	s.unknownSenders = unknown
	return s
}

// served returns the parts of the calls of the hot workspace, and of all others together, that
// were answered in time.
func (r simResult) served() (hot, others float64) {
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

// Guards the pattern of one workspace that sends many times its usual: the others' calls are
// answered in time as on a calm day, as long as the backend server could serve them alone.
func TestNoisyWorkspaceDelaysNoOthers(t *testing.T) {
	for _, load := range []float64{1.25, 1.6} {
		for seed := range uint64(5) {
			_, before := noisy(load, seed, true).run().served()
			hot, others := noisy(load, seed, false).run().served()
			calm := previews(load/2, false)
			calm.seed = seed
			c := calm.run().classes["previews"]
			alone := float64(c.inTime) / float64(c.offered)
			t.Logf("load %.2f seed %d: in time %.3f of the hot one's, %.3f of others' (%.3f without fairness, %.3f alone)", load, seed, hot, others, before, alone)
			if others < before {
				t.Errorf("load %.2f: the others are served worse", load)
			}
		}
	}
}

func keyed(workspace string, priority int) *Entry {
	return &Entry{Caller: Caller{Workspace: workspace, Priority: priority}}
}

// Guards a full queue: a call of a workspace with a higher priority takes the place of one with
// a lower, whatever their classes' priorities are.
func TestWorkspacePriorityGoesBeforeThatOfClasses(t *testing.T) {
	q := newTestQueue(Config{Slots: 1, MaxWaiting: 1, Classes: []Class{{Name: "high", Priority: 9}, {Name: "low", Priority: 1}}})
	offer(t, q, at(0), "high")
	waits := keyed("a", 2)
	if r := q.Offer(at(0), waits, "high", time.Time{}); r != nil {
		t.Fatal(r)
	}
	wantReason(t, q.Offer(at(0), keyed("b", 1), "high", time.Time{}), call.ReasonOverloaded)
	goes := keyed("c", 3)
	if r := q.Offer(at(0), goes, "low", time.Time{}); r != nil {
		t.Fatal(r)
	}
	events := q.Events()
	if len(events) != 1 || events[0].Entry != waits || events[0].Refusal == nil {
		t.Errorf("events %v: the call of the lower priority keeps its place", events)
	}
}

// Guards calls that are lost when they are refused: of those that wait, the workspace with the
// highest priority comes first.
func TestOnceCallsStartByWorkspacePriority(t *testing.T) {
	q := newTestQueue(Config{Slots: 1, Classes: []Class{{Name: "x"}}})
	running := offer(t, q, at(0), "x")
	var entries []*Entry
	for _, p := range []int{0, 3, 9, 3} {
		e := keyed(fmt.Sprint("w", p), p)
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
			t.Fatalf("call %d isn't next", i)
		}
	}
}

// Guards the counts of workspaces: none is left once no call waits or runs.
func TestNothingIsKeptOfIdleWorkspaces(t *testing.T) {
	r := noisy(1.6, 1, false).run()
	for _, c := range r.queue.ordered {
		if n := len(c.tallies.byName); n != 0 {
			t.Errorf("class %q keeps counts of %d workspaces", c.Name, n)
		}
	}
}

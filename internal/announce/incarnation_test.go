package announce

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/membership"
)

// word is one thing that an incarnation says, and may arrive late or twice.
type word struct {
	leaves   bool
	started  int64
	sequence uint64
	state    membership.BackendState
}

// A backend server crashes, leaves and comes back under its id several times, and the
// network delays and doubles what it says. Whatever the order, the node must end up
// with the newest incarnation that lives, and with none if that one has left: else
// calls would go to a process that is gone, or a living one would stay out of service.
func TestNewestIncarnationHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		said, newest := incarnations(t)
		r := NewRegistry(Limits{TTL: time.Hour, MaxBackends: 4, AllowNonLoopback: true})
		now := start
		hear := func(w word) {
			now = now.Add(time.Millisecond)
			if w.leaves {
				r.Withdraw(Withdrawal{Instance: "a", Started: w.started})
				return
			}
			a := berth("a", "127.0.0.1:1")
			a.Started, a.Sequence, a.State = w.started, w.sequence, w.state
			_, _ = r.Put(now, a) // late ones are refused
		}
		late := rapid.Permutation(append(said[:len(said):len(said)], said...)).Draw(t, "late")
		heard, left := int64(0), int64(0)
		for _, w := range late[:rapid.IntRange(0, len(late)).Draw(t, "arrived")] {
			hear(w)
			heard = max(heard, w.started)
			if w.leaves {
				left = max(left, w.started)
			}
			for _, b := range r.Load() {
				if b.Started < heard || b.Started <= left {
					t.Fatalf("holds %d after %d was heard and %d had left", b.Started, heard, left)
				}
			}
		}
		// The newest goes on, and what it says arrives at last, in its order.
		for _, w := range newest {
			hear(w)
		}
		last := newest[len(newest)-1]
		list := r.Load()
		switch {
		case last.leaves && len(list) > 0:
			t.Fatalf("holds %+v, which has left", list)
		case !last.leaves && (len(list) != 1 || list[0].Started != last.started || list[0].State != last.state):
			t.Fatalf("holds %+v, want %+v", list, last)
		}
	})
}

// incarnations returns what all of them say, and what the newest says, in its order.
func incarnations(t *rapid.T) (all, newest []word) {
	for n := range rapid.IntRange(1, 4).Draw(t, "incarnations") {
		newest = newest[:0:0]
		started := int64(n+1) * 1000
		count := rapid.IntRange(1, 4).Draw(t, "heartbeats")
		drains := rapid.IntRange(1, count+1).Draw(t, "drains from")
		for i := range count {
			w := word{started: started, sequence: uint64(i + 1), state: membership.BackendReady}
			if i >= drains {
				w.state = membership.BackendDraining
			}
			newest = append(newest, w)
		}
		if rapid.Bool().Draw(t, "leaves") {
			newest = append(newest, word{leaves: true, started: started})
		}
		all = append(all, newest...)
	}
	return all, newest
}

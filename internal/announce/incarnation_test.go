package announce

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/membership"
)

// message is one message of an incarnation, which may arrive late or twice.
type message struct {
	leaves   bool
	started  int64
	sequence uint64
	state    membership.BackendState
}

// A backend server crashes, leaves and restarts under its ID several times, while the network
// delays, reorders and duplicates its messages. The node must end up with the newest
// incarnation, or with none if that one has left; otherwise calls go to a process that is gone,
// or a live one stays out of service.
func TestNewestIncarnationWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent, newest := incarnations(t)
		r := NewRegistry(Limits{TTL: time.Hour, MaxBackends: 4, AllowNonLoopback: true})
		now := start
		receive := func(w message) {
			now = now.Add(time.Millisecond)
			if w.leaves {
				r.Withdraw(Withdrawal{Instance: "a", Started: w.started})
				return
			}
			a := berth("a", "127.0.0.1:1")
			a.Started, a.Sequence, a.State = w.started, w.sequence, w.state
			_, _ = r.Put(now, a) // refused if late
		}
		delivered := rapid.Permutation(append(sent[:len(sent):len(sent)], sent...)).Draw(t, "late")
		received, left := int64(0), int64(0)
		for _, w := range delivered[:rapid.IntRange(0, len(delivered)).Draw(t, "arrived")] {
			receive(w)
			received = max(received, w.started)
			if w.leaves {
				left = max(left, w.started)
			}
			for _, b := range r.Load() {
				if b.Started < received || b.Started <= left {
					t.Fatalf("holds %d after %d was received and %d had left", b.Started, received, left)
				}
			}
		}
		// Finally the messages of the newest one arrive in order.
		for _, w := range newest {
			receive(w)
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

// incarnations returns the messages of all incarnations, and those of the newest one, in order.
func incarnations(t *rapid.T) (all, newest []message) {
	for n := range rapid.IntRange(1, 4).Draw(t, "incarnations") {
		newest = newest[:0:0]
		started := int64(n+1) * 1000
		count := rapid.IntRange(1, 4).Draw(t, "heartbeats")
		drains := rapid.IntRange(1, count+1).Draw(t, "drains from")
		for i := range count {
			w := message{started: started, sequence: uint64(i + 1), state: membership.BackendReady}
			if i >= drains {
				w.state = membership.BackendDraining
			}
			newest = append(newest, w)
		}
		if rapid.Bool().Draw(t, "leaves") {
			newest = append(newest, message{leaves: true, started: started})
		}
		all = append(all, newest...)
	}
	return all, newest
}

package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

// feeds checks whether the node reads the source after some time.
func (n *node) feeds(after time.Duration, v *membership.View, want bool) {
	n.t.Helper()
	n.now = n.now.Add(after)
	if got := n.Feeds(n.now, v); got != want {
		n.t.Fatalf("reads the source after %v: %v", n.now.Sub(start), got)
	}
}

// crowd is a data centre in which "me" is no feeder.
func crowd(t *testing.T) *membership.View {
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint("n", i))
		if v := view(ids...); !distribute.IsFeeder(v, "me", "dc") {
			return v
		}
	}
	t.Fatal("the node is a feeder in any company")
	return nil
}

// Half of the VMs lose power and start again at one moment. Each read the whole document
// from the platform's store, over its slow link and with its sixth of a core, and refused
// its callers for a second, though the node that let it in holds the version, packed.
func TestStartsFromAPeer(t *testing.T) {
	n := newNode(t)
	many := crowd(t)
	n.feeds(10*time.Millisecond, many, false)
	n.Heard(n.now, "n1", version(79))
	n.pull(50*time.Millisecond, many, "n1")
	if !n.Take(version(79)) {
		t.Fatal("the peer's version was not taken")
	}
	n.Pulled(n.now, "n1")
	n.pull(time.Minute, many, "") // the feeders tell from now on
}

// A peer has told of its version and is gone, or too busy to give it. The node that has
// just started must not wait for it longer than it takes to read the source.
func TestStartsFromTheSourceWherePeersDont(t *testing.T) {
	n := newNode(t)
	many := crowd(t)
	n.Heard(n.now, "n1", version(79))
	n.feeds(time.Second, many, false)
	n.feeds(time.Second, many, true)
}

// A node starts alone, or cut off from all others, with the source in reach.
func TestStartsFromTheSourceAlone(t *testing.T) {
	n := newNode(t)
	n.feeds(0, view(), false)
	n.feeds(400*time.Millisecond, view(), true)
}

// All VMs start at one moment, and nobody holds a version. Those with fast links read the
// source at once. The others leave it to them while they know of any, and pull at the
// first word; where all links are slow, waiting for each other would help nobody.
func TestAllStartTogether(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "me"}
	reading := func(fast int, after time.Duration) (n int) {
		v := view(ids...)
		for _, id := range ids {
			v.Records[id].VM.LinkMbps = slowLink
		}
		for _, id := range ids[:fast] {
			v.Records[id].VM.LinkMbps = fastLink
		}
		for _, id := range ids {
			if NewState(Defaults(id, "dc", v.Records[id].VM.LinkMbps), start).Feeds(start.Add(after), v) {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		fast  int
		after time.Duration
		want  int
	}{{3, 0, 3}, {3, time.Second, 3}, {0, 0, 0}, {0, time.Second, 7}, {3, 2 * time.Second, 7}} {
		if got := reading(c.fast, c.after); got != c.want {
			t.Errorf("%d fast links, after %v: %d nodes read the source, want %d", c.fast, c.after, got, c.want)
		}
	}
	n := newNode(t)
	n.None(n.now)
	n.Heard(n.now, "a", version(1))
	n.pull(0, view("a", "b", "c"), "a")
}

// The operators have not written anything when the VMs start. A node that is no feeder asked
// the store all the same, with a question that waits, and all of them got the first
// document from it at one moment.
func TestLeavesAnEmptySourceToTheFeeders(t *testing.T) {
	n := newNode(t)
	many := crowd(t)
	n.feeds(2*time.Second, many, true)
	n.None(n.now)
	n.feeds(time.Minute, many, false)
	if n.Held() != config.Empty().Version() || n.Failing() {
		t.Error("a source without a version counts as failing")
	}
}

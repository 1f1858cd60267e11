package follow

import (
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

// checkReadsSource checks whether the node reads the source after some time.
func (n *node) checkReadsSource(after time.Duration, v *membership.View, want bool) {
	n.t.Helper()
	n.now = n.now.Add(after)
	if got := n.ReadsSource(n.now, v); got != want {
		n.t.Fatalf("reads the source after %v: %v", n.now.Sub(start), got)
	}
}

// nonFeederView returns a data centre in which "me" is no feeder.
func nonFeederView(t *testing.T) *membership.View {
	var ids []string
	for i := range 1000 {
		ids = append(ids, fmt.Sprint("n", i))
		if v := view(ids...); !distribute.IsFeeder(v, "me", "dc") {
			return v
		}
	}
	t.Fatal("no view found in which the node is no feeder")
	return nil
}

// Guards against a slow mass restart: when half of the VMs restarted, each read the whole document
// from the store over its slow link, on a sixth of a core, and refused its callers for a second,
// although the node that it joined through held the version, packed.
func TestStartsFromAPeer(t *testing.T) {
	n := newNode(t)
	many := nonFeederView(t)
	n.checkReadsSource(10*time.Millisecond, many, false)
	n.RecordClaim(n.now, "n1", version(79))
	n.checkPull(50*time.Millisecond, many, "n1")
	if !n.Advance(version(79)) {
		t.Fatal("the peer's version was not applied")
	}
	n.PullEnded(n.now, "n1")
	n.checkPull(time.Minute, many, "") // the feeders push from now on
}

// Guards against a starting node that waits for a peer which is gone, or too busy to answer, for
// longer than it takes to read the source.
func TestStartsFromSourceWhenPeersFail(t *testing.T) {
	n := newNode(t)
	many := nonFeederView(t)
	n.RecordClaim(n.now, "n1", version(79))
	n.checkReadsSource(time.Second, many, false)
	n.checkReadsSource(time.Second, many, true)
}

// Guards against a node that starts alone, or partitioned from all others, and never reads the
// source.
func TestStartsFromTheSourceAlone(t *testing.T) {
	n := newNode(t)
	n.checkReadsSource(0, view(), false)
	n.checkReadsSource(400*time.Millisecond, view(), true)
}

// Guards against a deadlock, or reads by all, when all VMs start at once and none holds a version.
// Nodes with fast links read the source at once. The others wait while they know such a node, and
// pull at its first message. If all links are slow, they must not wait for each other.
func TestAllStartTogether(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "me"}
	reading := func(fast int, after time.Duration) (n int) {
		v := view(ids...)
		for _, id := range ids {
			v.Records[id].VM.LinkMbps = slowLinkMbps
		}
		for _, id := range ids[:fast] {
			v.Records[id].VM.LinkMbps = fastLinkMbps
		}
		for _, id := range ids {
			if NewState(Defaults(id, "dc", v.Records[id].VM.LinkMbps), start).ReadsSource(start.Add(after), v) {
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
	n.RecordNoVersion(n.now)
	n.RecordClaim(n.now, "a", version(1))
	n.checkPull(0, view("a", "b", "c"), "a")
}

// Guards against long polls of all nodes on an empty store: nodes that are no feeders polled as
// well, and the store sent all of them the first document at the same moment.
func TestLeavesAnEmptySourceToTheFeeders(t *testing.T) {
	n := newNode(t)
	many := nonFeederView(t)
	n.checkReadsSource(2*time.Second, many, true)
	n.RecordNoVersion(n.now)
	n.checkReadsSource(time.Minute, many, false)
	if n.Held() != config.Empty().Version() || n.Failing() {
		t.Error("a source without a version counts as failing")
	}
}

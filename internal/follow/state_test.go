package follow

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// slowLinkMbps is the link of a small VM, in Mbit/s.
const slowLinkMbps = 10

func version(n uint64) config.Version { return config.Version{Number: n, Hash: config.Hash{byte(n)}} }

func view(ids ...string) *membership.View {
	v := &membership.View{Self: "me", Records: make(map[string]*membership.ObservedRecord)}
	for _, id := range append(ids, "me") {
		v.Records[id] = &membership.ObservedRecord{Record: membership.Record{VM: membership.VM{ID: id, DataCentre: "dc"}, State: membership.VMAlive}}
	}
	return v
}

// node is a State with the test's random source and clock.
type node struct {
	*State
	t   *testing.T
	rng *rand.Rand
	now time.Time
}

func newNode(t *testing.T) *node {
	return &node{State: NewState(Defaults("me", "dc", slowLinkMbps), start), t: t, rng: rand.New(rand.NewPCG(1, 2)), now: start}
}

func (n *node) checkPull(after time.Duration, v *membership.View, want string) {
	n.t.Helper()
	n.now = n.now.Add(after)
	got, _ := n.NextPull(n.now, n.rng, v)
	if got != want {
		n.t.Fatalf("pull after %v: got %q, want %q", n.now.Sub(start), got, want)
	}
}

// Guards against a node that the store rejects while operators change a route: without a pull from
// a peer that has read the change, it would send the route's calls to the old service.
func TestPullsFromPeerWhileSourceFails(t *testing.T) {
	n := newNode(t)
	n.RecordSourceResult(n.now, true)
	n.Advance(version(3))
	n.RecordSourceResult(n.now, false)
	n.RecordClaim(n.now, "a", version(5))
	n.checkPull(0, view("a"), "a")
	if !n.Advance(version(5)) {
		t.Fatal("the newer version was not applied")
	}
	n.PullEnded(n.now, "a")
}

// Guards against duplicate transfers: all nodes learn of a change from the source and from each
// other within milliseconds, and would fetch it twice if they pulled at once.
func TestWaitsForTheSourceWhileItAnswers(t *testing.T) {
	n := newNode(t)
	n.RecordSourceResult(n.now, true)
	n.Advance(version(3))
	n.RecordClaim(n.now, "a", version(4))
	n.checkPull(100*time.Millisecond, view("a"), "")
	n.Advance(version(4))
	n.checkPull(time.Second, view("a"), "")

	// Under frequent changes the peer is always one version ahead. This node must not start its
	// wait anew for each version.
	n.RecordClaim(n.now, "a", version(5))
	n.now = n.now.Add(800 * time.Millisecond)
	n.RecordClaim(n.now, "a", version(6))
	n.checkPull(100*time.Millisecond, view("a"), "a")
}

// Guards against a starting node that learns of no version because the store does not answer and no
// peer sends a message: it has to pull without a claim.
func TestPullsWithoutClaimsWhileSourceFails(t *testing.T) {
	n := newNode(t)
	n.checkPull(0, view("a"), "")
	n.checkPull(time.Second, view("a"), "a")
	n.PullEnded(n.now, "a")
	n.checkPull(0, view("a"), "")
	n.checkPull(time.Second, view(), "")
}

// Guards against going back to an older version that arrives late.
func TestOlderVersionChangesNothing(t *testing.T) {
	n := newNode(t)
	n.Advance(version(7))
	if n.Advance(version(6)) || n.Advance(version(7)) || n.Held() != version(7) {
		t.Fatal("an older version was applied")
	}
	n.RecordClaim(n.now, "a", version(6))
	n.RecordSourceResult(n.now, true)
	n.checkPull(time.Hour, view("a"), "")
}

// Guards against pulling without a pause from a peer that repeatedly reports a version it cannot
// supply, and against pulling from a peer that is gone.
func TestUnusableClaimsAreDropped(t *testing.T) {
	n := newNode(t)
	n.RecordSourceResult(n.now, true)
	n.RecordClaim(n.now, "a", version(2))
	n.checkPull(time.Second, view("a"), "a")
	n.checkPull(0, view("a"), "")
	n.PullEnded(n.now, "a")
	n.RecordClaim(n.now.Add(-time.Second), "a", version(2))
	n.checkPull(0, view("a"), "")
	n.checkPull(time.Second, view(), "")
	if len(n.claims) != 0 {
		t.Error("the claim of a peer that is gone was kept")
	}
}

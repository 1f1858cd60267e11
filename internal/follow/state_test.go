package follow

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// slowLink is that of a small VM, in Mbit/s.
const slowLink = 10

func version(n uint64) config.Version { return config.Version{Number: n, Hash: config.Hash{byte(n)}} }

func view(ids ...string) *membership.View {
	v := &membership.View{Self: "me", Records: make(map[string]*membership.ObservedRecord)}
	for _, id := range append(ids, "me") {
		v.Records[id] = &membership.ObservedRecord{Record: membership.Record{VM: membership.VM{ID: id, DataCentre: "dc"}, State: membership.VMAlive}}
	}
	return v
}

// node is a State with its surroundings.
type node struct {
	*State
	t   *testing.T
	rng *rand.Rand
	now time.Time
}

func newNode(t *testing.T) *node {
	return &node{State: NewState(Defaults("me", "dc", slowLink), start), t: t, rng: rand.New(rand.NewPCG(1, 2)), now: start}
}

func (n *node) pull(after time.Duration, v *membership.View, want string) {
	n.t.Helper()
	n.now = n.now.Add(after)
	got, _ := n.Pull(n.now, n.rng, v)
	if got != want {
		n.t.Fatalf("pull after %v: got %q, want %q", n.now.Sub(start), got, want)
	}
}

// The store turns this node away while operators change a route. Its neighbour
// reads the change and tells of it. Without a pull, this node would send the
// route's calls to the old service for as long as the store refuses it.
func TestLearnsFromPeerWhileSourceFails(t *testing.T) {
	n := newNode(t)
	n.Source(n.now, true)
	n.Take(version(3))
	n.Source(n.now, false)
	n.Heard(n.now, "a", version(5))
	n.pull(0, view("a"), "a")
	if !n.Take(version(5)) {
		t.Fatal("the newer version was not taken")
	}
	n.Pulled(n.now, "a")
}

// All nodes read a change from the store within some milliseconds, and hear of it
// from each other at the same time. Pulling at once, each would fetch it twice.
func TestWaitsForTheSourceWhileItAnswers(t *testing.T) {
	n := newNode(t)
	n.Source(n.now, true)
	n.Take(version(3))
	n.Heard(n.now, "a", version(4))
	n.pull(100*time.Millisecond, view("a"), "")
	n.Take(version(4))
	n.pull(time.Second, view("a"), "")

	// A storm: the peer is always one version ahead, so this node is behind all
	// the while, and must not wait anew for each version.
	n.Heard(n.now, "a", version(5))
	n.now = n.now.Add(800 * time.Millisecond)
	n.Heard(n.now, "a", version(6))
	n.pull(100*time.Millisecond, view("a"), "a")
}

// The store is silent for all, and this node has just started. No peer tells of a
// version as long as nothing else makes them talk; it has to ask.
func TestAsksUnaskedWhileSourceFails(t *testing.T) {
	n := newNode(t)
	n.pull(0, view("a"), "")
	n.pull(time.Second, view("a"), "a")
	n.Pulled(n.now, "a")
	n.pull(0, view("a"), "")
	n.pull(time.Second, view(), "")
}

// A version that came late, after a newer one, must change nothing.
func TestNeverBackwards(t *testing.T) {
	n := newNode(t)
	n.Take(version(7))
	if n.Take(version(6)) || n.Take(version(7)) || n.Held() != version(7) {
		t.Fatal("an older version was taken")
	}
	n.Heard(n.now, "a", version(6))
	n.Source(n.now, true)
	n.pull(time.Hour, view("a"), "")
}

// A peer tells of a version that it cannot give, over and over. It must not be
// asked without a pause, and a peer that is gone not at all.
func TestUselessPeers(t *testing.T) {
	n := newNode(t)
	n.Source(n.now, true)
	n.Heard(n.now, "a", version(2))
	n.pull(time.Second, view("a"), "a")
	n.pull(0, view("a"), "")
	n.Pulled(n.now, "a")
	n.Heard(n.now.Add(-time.Second), "a", version(2))
	n.pull(0, view("a"), "")
	n.pull(time.Second, view(), "")
	if len(n.claims) != 0 {
		t.Error("the claim of a peer that is gone was kept")
	}
}

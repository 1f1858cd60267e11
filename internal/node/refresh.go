package node

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/wait"
)

const (
	refreshGap = 50 * time.Millisecond // least time between two refreshes
	watchEvery = time.Second           // looking whether the VM's ID was taken
)

// refresh brings what is derived from the membership view and from the version
// in force up to date. It is woken by both; the timer is for what tells of
// itself to nobody, which is readiness and another process under this VM's ID.
// Changes that come together are taken in together: while a data centre returns,
// views follow each other faster than each could be worked on.
func (n *Node) refresh(ctx context.Context) {
	var done refreshed
	for ctx.Err() == nil {
		n.refreshOnce(time.Now(), &done)
		_ = wait.For(ctx, refreshGap)
		every := watchEvery
		if !n.carries.Load() {
			every = refreshGap
		}
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
		case <-n.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// refreshed is what refresh has taken in.
type refreshed struct {
	view     *membership.View
	snapshot *config.Snapshot
	refused  *config.Refused
}

func (n *Node) refreshOnce(now time.Time, done *refreshed) {
	v, f, r := n.views.Load(), n.store.Load(), n.store.Refused()
	if v != done.view {
		n.logView(done.view, v)
		n.calls.pickers.update(now, v)
		n.calls.suspects.mergeNotices(now, v)
		n.calls.retries.setNodeCount(len(v.Records))
	}
	if f.Snapshot != done.snapshot || r != done.refused {
		n.control.applied(f.Snapshot, r)
	}
	if v != done.view || f.Snapshot != done.snapshot {
		n.updateGates(now)
	}
	*done = refreshed{v, f.Snapshot, r}
	n.watchID()
	ok, _ := n.control.spread.Ready()
	n.carries.Store(ok && !n.superseded.Load())
	if ok {
		n.start.end()
	}
}

// wake makes refresh look now.
func (n *Node) wake() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// wakingStore is a node's store that wakes refresh when a version was offered.
//
// The gates follow at once, and not with the refresh: entry nodes send calls of
// a new class as soon as they run the version, and a gate that does not know the
// class yet would run them without its share, rate and priority.
type wakingStore struct{ n *Node }

// Offer implements distribute.Store.
func (s wakingStore) Offer(snap *config.Snapshot) (bool, error) {
	defer s.n.wake()
	inForce, err := s.n.store.Offer(snap)
	if inForce {
		s.n.updateGates(time.Now())
	}
	return inForce, err
}

// watchID stops the traffic of a node whose VM's ID another process has taken.
//
// It guards against two nodes under one name: a VM was replaced while its old
// machine was cut off or paused, and that one comes back. The mesh believes the
// process that started later, so calls for this one's backend servers go
// elsewhere; whoever still reaches it would run on an old configuration. It
// stays up, not ready, and does not end: a supervisor would start it anew, as
// the later one, and the two would take the name from each other in turns.
func (n *Node) watchID() {
	if n.superseded.Load() {
		return
	}
	since, yes := n.control.members.Superseded()
	if !yes {
		return
	}
	n.superseded.Store(true)
	n.calls.dest.Drain()
	n.log.Error().Time("since", since).
		Msg("node: another process runs under this VM's id; this one takes no more calls, stop it")
}

// updateGates fits the gates to the backend servers here, the classes in force
// and the number of backend servers elsewhere.
func (n *Node) updateGates(now time.Time) {
	holders := n.calls.pickers.readyBackends
	n.calls.gates.update(now, n.registry.Load(), n.store.Load().Program, holders)
}

// backendsChanged takes in what backend servers announced.
func (n *Node) backendsChanged(changes []announce.Change) {
	n.updateGates(time.Now())
	n.control.backends()
	for _, c := range changes {
		n.log.Info().Str("service", c.Backend.Service).Str("instance", c.Backend.Instance).
			Stringer("change", c.Kind).Msg("announce: backend server changed")
		if c.Kind == announce.Replaced {
			n.calls.suspects.backendReplaced(backendOf(c.Backend), c.PreviousState)
		}
	}
}

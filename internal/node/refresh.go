package node

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/telemetry"
	"github.com/marlpass/marlpass/internal/wait"
)

const (
	minRefreshInterval      = 50 * time.Millisecond // minimum time between two refreshes
	supersededCheckInterval = time.Second           // interval of checks for another process under this VM's ID
)

// refresh updates the state derived from the membership view and the version in force. Both
// trigger it; the timer covers readiness and another process under this VM's ID, which trigger
// nothing. Changes are batched: while a data centre returns, views change faster than each could
// be processed.
func (n *Node) refresh(ctx context.Context) {
	var done refreshState
	for ctx.Err() == nil {
		n.refreshOnce(time.Now(), &done)
		_ = wait.For(ctx, minRefreshInterval)
		every := supersededCheckInterval
		if !n.takesCalls.Load() {
			every = minRefreshInterval
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

// refreshState is the input of the last refresh.
type refreshState struct {
	view     *membership.View
	snapshot *config.Snapshot
	refused  *config.Refused
}

func (n *Node) refreshOnce(now time.Time, done *refreshState) {
	v, f, r := n.views.Load(), n.store.Load(), n.store.Refused()
	if v != done.view {
		n.logView(done.view, v)
		n.calls.pickers.update(now, v)
		n.calls.suspects.mergeNotices(now, v)
		n.calls.retries.setNodeCount(len(v.Records))
	}
	if f.Snapshot != done.snapshot || r != done.refused {
		n.control.publishVersion(f.Snapshot, r)
	}
	if v != done.view || f.Snapshot != done.snapshot {
		n.updateGates(now)
	}
	*done = refreshState{v, f.Snapshot, r}
	n.checkSuperseded()
	ok, _ := n.control.distributor.Ready()
	n.takesCalls.Store(ok && !n.superseded.Load())
	if ok {
		n.startup.end()
	}
}

// wake triggers a refresh.
func (n *Node) wake() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// notifyingStore is a node's store that triggers a refresh for every version offered.
//
// It updates the gates at once, not with the refresh: entry nodes send calls of a new class as
// soon as they run the version, and a gate without that class would run them without its share,
// rate and priority.
type notifyingStore struct{ n *Node }

// Offer implements distribute.Store.
func (s notifyingStore) Offer(snap *config.Snapshot) (bool, error) {
	defer s.n.wake()
	inForce, err := s.n.store.Offer(snap)
	if inForce {
		s.n.updateGates(time.Now())
		s.n.logOmitted(snap)
	}
	return inForce, err
}

// logOmitted logs and counts a version of which objects are left out.
func (n *Node) logOmitted(s *config.Snapshot) {
	omitted := s.Omitted()
	if len(omitted) == 0 {
		return
	}
	n.control.findings.increment(findingOmitted)
	named := make([]string, min(len(omitted), maxOmittedLogged))
	for i := range named {
		named[i] = telemetry.Label(omitted[i].String())
	}
	n.log.Error().Uint64("version", s.Version().Number).Int("objects", len(omitted)).Strs("omitted", named).
		Msg("node: objects of the version in force are left out, their calls are refused")
}

// findingOmitted counts versions of which objects are left out.
const findingOmitted = "omitted"

// maxOmittedLogged bounds the objects that one line names.
const maxOmittedLogged = 8

// checkSuperseded stops the traffic of a node when another process runs under its VM's ID.
//
// This happens when a VM is replaced while its old machine is cut off or paused, and the old
// machine returns. The mesh prefers the process that started later, so calls for this one's
// backend servers go to the other; callers that still reach this one would run on an old
// configuration. The node stays up, not ready: if it exited, a supervisor would restart it as the
// later process, and the two would take the ID from each other in turns.
func (n *Node) checkSuperseded() {
	if n.superseded.Load() {
		return
	}
	since, taken := n.control.members.Superseded()
	if !taken {
		return
	}
	n.superseded.Store(true)
	n.calls.dest.Drain()
	n.log.Error().Time("since", since).
		Msg("node: another process runs under this VM's id; this node takes no more calls and has to be stopped")
}

// updateGates updates the gates for the backend servers here, the classes in force and the number
// of ready backend servers in the mesh.
func (n *Node) updateGates(now time.Time) {
	holders := n.calls.pickers.readyBackends
	n.calls.gates.update(now, n.registry.Load(), n.store.Load().Program, holders)
}

// backendsChanged applies changes that backend servers announced.
func (n *Node) backendsChanged(changes []announce.Change) {
	n.updateGates(time.Now())
	n.control.publishBackends()
	for _, c := range changes {
		n.log.Info().Str("service", c.Backend.Service).Str("instance", c.Backend.Instance).
			Stringer("change", c.Kind).Stringer("state", c.Backend.State).Stringer("previous_state", c.PreviousState).
			Uint64("sequence", c.Backend.Sequence).Int64("started_ms", c.Backend.Started).Bool("leaving", c.Backend.Leaving).
			Msg("announce: backend server changed")
		if c.Kind == announce.Replaced {
			n.calls.suspects.backendReplaced(backendOf(c.Backend), c.PreviousState)
		}
	}
}

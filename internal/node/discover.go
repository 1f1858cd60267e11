package node

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/wait"
)

// Intervals and timeout of probing for a backend server that was running before this node.
const (
	// discoverPollInterval is the interval at which the node checks for a version in force.
	discoverPollInterval = 20 * time.Millisecond
	// discoverProbeInterval is the time between two probes. discoverTimeout bounds each probe, and
	// the search as a whole from the first version in force on; the heartbeats of a backend server
	// are more frequent than that.
	discoverProbeInterval = 300 * time.Millisecond
	discoverTimeout       = 2 * time.Second
)

// discover probes this VM's backend server for its identity instead of waiting for its
// announcement.
//
// Otherwise a restart of the node takes its backend server out of service until the next
// heartbeat, a second or more, and a rolling restart leaves several of them idle at once.
func (n *Node) discover(ctx context.Context) {
	if n.o.Probe == nil {
		return
	}
	until := time.Now().Add(discoverTimeout)
	for ctx.Err() == nil && n.registry.AwaitsConfirmation() {
		service := n.store.Load().Snapshot.Service(n.set.VM.Service)
		switch {
		case service == nil:
			// No version is in force yet.
			until = time.Now().Add(discoverTimeout)
			_ = wait.For(ctx, discoverPollInterval)
		case service.HealthPath == "" || time.Now().After(until):
			return
		default:
			if n.probe(ctx, service.HealthPath) {
				return
			}
			_ = wait.For(ctx, discoverProbeInterval)
		}
	}
}

// probe registers the backend server if it answers. It reports whether the search is over.
func (n *Node) probe(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	a, advertised, err := n.o.Probe(ctx, n.set.VM.Backend, path)
	if err != nil {
		if a.Instance != "" {
			if changes := n.registry.Deny(time.Now(), a.Instance); len(changes) > 0 {
				n.backendsChanged(changes)
			}
		}
		n.log.Info().Err(err).Str("backend", n.set.VM.Backend).
			Msg("announce: the probe of the backend server failed, waiting for its announcement")
		return false
	}
	a.Service, a.VersionUnknown = n.set.VM.Service, a.Version == ""
	if changes := n.registry.Confirm(time.Now(), a.Instance); len(changes) > 0 {
		n.backendsChanged(changes) // it has announced itself meanwhile
		return true
	}
	changes, err := n.registry.Put(time.Now(), a)
	if err != nil {
		n.log.Info().Err(err).Str("instance", a.Instance).Msg("announce: the identity that the backend server reported is refused")
		return true
	}
	if visible := announce.RecordChanges(changes); len(visible) > 0 {
		n.backendsChanged(visible)
	}
	if b, ok := (backends{n.registry}).Find(a.Service, a.Instance); ok {
		n.calls.advertisements.Adopt(time.Now(), b, advertised)
	}
	return true
}

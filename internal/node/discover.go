package node

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/wait"
)

// Times of looking for a backend server that was there before this node.
const (
	// discoverPollInterval is the time between two looks at what is still missing.
	discoverPollInterval = 20 * time.Millisecond
	// discoverProbeInterval is the time between two probes, and discoverFor how long a
	// backend server may go without an announcement before it is given up;
	// its own renewals come more often than that.
	discoverProbeInterval = 300 * time.Millisecond
	discoverTimeout       = 2 * time.Second
)

// discover asks the backend server of this VM who it is, instead of waiting for
// it to announce itself.
//
// It guards against a restart of the node that takes its backend server out of
// service for as long as that one waits until its next heartbeat: a second or
// more, in which a rolling restart leaves several others idle as well.
func (n *Node) discover(ctx context.Context) {
	if n.o.Probe == nil {
		return
	}
	until := time.Now().Add(discoverTimeout)
	for ctx.Err() == nil && len(n.registry.Load()) == 0 {
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

// probe takes in the backend server if it answers.
func (n *Node) probe(ctx context.Context, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, discoverTimeout)
	defer cancel()
	a, err := n.o.Probe(ctx, n.set.VM.Backend, path)
	if err != nil {
		n.log.Info().Err(err).Str("backend", n.set.VM.Backend).
			Msg("announce: the backend server does not say who it is, wait for its announcement")
		return false
	}
	a.Service = n.set.VM.Service
	changes, err := n.registry.Put(time.Now(), a)
	if err != nil {
		n.log.Info().Err(err).Str("instance", a.Instance).Msg("announce: what the backend server says of itself is not taken")
		return true
	}
	if visible := announce.RecordChanges(changes); len(visible) > 0 {
		n.backendsChanged(visible)
	}
	return true
}

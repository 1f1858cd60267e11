package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/wait"
)

const (
	leaveNotice = 2 * time.Second // for the word of leaving to get around
	stopGrace   = 5 * time.Second // for everything but calls in flight
)

// ErrDrainLimit means that a planned stop cut off calls, because they were
// still in flight at the limit.
var ErrDrainLimit = errors.New("node: calls were still in flight at the drain limit")

// Shutdown stops the node gracefully: it tells the mesh, refuses new calls, and
// waits for those in flight until the drain limit. It returns ErrDrainLimit if
// that was hit.
func (n *Node) Shutdown(ctx context.Context) error {
	var err error
	if defect.On(defect.StopAtOnce) {
		n.Kill()
		return nil
	}
	n.once.Do(func() { err = n.shutdown(ctx) })
	return err
}

func (n *Node) shutdown(ctx context.Context) error {
	start := time.Now()
	n.parts.leaving.Store(true)
	n.leaving.Store(true)
	n.log.Info().Msg("node: leaving the mesh")
	n.servers.leave()
	n.giveNotice(ctx)
	n.calls.drain()
	limit := n.set.Drain.LimitWithin(n.set.Drain.NoticeOr(leaveNotice))
	ctx, cancel := context.WithTimeout(ctx, limit+stopGrace)
	defer cancel()
	cut := n.servers.drain(ctx, limit)
	n.calls.shutdown()
	n.servers.close()
	n.control.close()
	n.parts.stop()
	if cut > 0 {
		n.log.Error().Int64("calls", cut).Dur("after", time.Since(start)).Msg("node: calls cut off at the drain limit")
		return fmt.Errorf("%w: %d after %s", ErrDrainLimit, cut, limit)
	}
	n.log.Info().Dur("after", time.Since(start)).Msg("node: stopped")
	return nil
}

// giveNotice goes on taking calls until whoever sends them has learned that the
// node leaves. Callers learn it by its readiness, which they ask for now and then,
// and the other nodes at once by the membership. So those may be told later: till
// then the backend server here runs calls of the whole mesh.
func (n *Node) giveNotice(ctx context.Context) {
	notice, word := n.set.Drain.NoticeOr(leaveNotice), n.set.Drain.Word.Duration
	if word > 0 {
		_ = wait.For(ctx, notice-word)
		notice = word
	}
	n.control.leave()
	_ = wait.For(ctx, notice)
}

// Kill ends the node at once, as a crash would. It is for tests.
func (n *Node) Kill() {
	n.once.Do(func() {
		n.parts.leaving.Store(true)
		n.parts.cancel()
		n.servers.close()
		n.control.close()
		n.parts.stop()
	})
}

package node

import (
	"context"
	"errors"
	"fmt"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
)

// pulledAtOnce bounds the deltas that a feeder reads at once.
const pulledAtOnce = 64

// versions gives command.Reader the shape that distribute asks for.
type versions struct{ r *command.Reader }

// Head implements distribute.Platform. A head that does not go on from what is
// known is handed on as it was read: distribute compares it with what it holds
// and reports it.
func (v versions) Head(ctx context.Context) (config.Version, error) {
	h, err := v.r.Head(ctx)
	var history *command.HistoryError
	if errors.As(err, &history) {
		return h.Version, nil
	}
	return h.Version, err
}

// Since implements distribute.Platform.
func (v versions) Since(ctx context.Context, from config.Version) ([]*config.Delta, error) {
	ds, err := v.r.Since(ctx, from, pulledAtOnce)
	if errors.Is(err, command.ErrCompacted) {
		return nil, fmt.Errorf("%w: %w", distribute.ErrCompacted, err)
	}
	return ds, err
}

// Snapshot implements distribute.Platform.
func (v versions) Snapshot(ctx context.Context, head config.Version) (*config.Snapshot, error) {
	h, err := v.r.Head(ctx)
	if err != nil {
		return nil, err
	}
	if h.Version != head {
		return nil, fmt.Errorf("node: the platform is at version %d by now", h.Version.Number)
	}
	return v.r.Snapshot(ctx, h)
}

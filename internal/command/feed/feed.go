// Package feed hands the versions that package command keeps in the platform to
// package distribute, which judges and spreads them.
package feed

import (
	"context"
	"errors"
	"fmt"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
)

// sinceLimit bounds the deltas of one read; distribute reads on.
const sinceLimit = 128

// Source implements distribute.Platform on a reader. It passes on what the
// platform shows, an older head and another history included: distribute
// compares them with what it holds and reports them.
type Source struct{ r *command.Reader }

var _ distribute.Platform = (*Source)(nil)

// New returns the source of what r reads.
func New(r *command.Reader) *Source { return &Source{r} }

// Head implements distribute.Platform.
func (s *Source) Head(ctx context.Context) (config.Version, error) {
	h, err := s.r.Head(ctx)
	var history *command.HistoryError
	if err != nil && !errors.As(err, &history) {
		return config.Version{}, err
	}
	return h.Version, nil
}

// Since implements distribute.Platform.
func (s *Source) Since(ctx context.Context, v config.Version) ([]*config.Delta, error) {
	ds, err := s.r.Log(ctx, v.Number, sinceLimit)
	if err != nil {
		return nil, err
	}
	if len(ds) > 0 && ds[0].From.Number > v.Number {
		return nil, fmt.Errorf("%w: the log begins with version %d", distribute.ErrCompacted, ds[0].To.Number)
	}
	return ds, nil
}

// Snapshot implements distribute.Platform. The head is read again, since it
// says which snapshot objects there are.
func (s *Source) Snapshot(ctx context.Context, v config.Version) (*config.Snapshot, error) {
	h, err := s.r.Head(ctx)
	if err != nil {
		return nil, err
	}
	// The head may have moved on since distribute read v; the log still leads
	// to v unless it was compacted meanwhile.
	h.Version = v
	return s.r.Snapshot(ctx, h)
}

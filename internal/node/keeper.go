package node

import (
	"context"

	"github.com/marlpass/marlpass/internal/once"
	"github.com/marlpass/marlpass/internal/proxy"
)

// keeper gives once.Deduplicator the shape that the proxy asks for.
type keeper struct{ k *once.Deduplicator }

// Begin implements proxy.Keeper.
func (k keeper) Begin(ctx context.Context, c proxy.KeyedCall) (proxy.Claim, *proxy.Stored, error) {
	b, err := k.k.Begin(ctx, once.Request{
		Service:     c.Target.Service,
		Key:         c.Key,
		Fingerprint: c.Fingerprint,
		StoreDown:   c.Target.StoreDownRule(),
		Deadline:    c.Deadline,
	})
	switch {
	case err != nil:
		return nil, nil, err
	case b.Unknown:
		return nil, nil, proxy.ErrOutcomeUnknown
	case b.Replay != nil:
		return nil, storedOf(b.Replay), nil
	}
	return claim{b.Run}, nil, nil
}

func storedOf(s *once.StoredOutcome) *proxy.Stored {
	return &proxy.Stored{Status: s.Status, Header: s.Header, Body: s.Body, TooLarge: s.Truncated}
}

// claim gives once.Claim the shape that the proxy asks for. Errors of Finish
// and Abandon are settled later by Deduplicator.Flush.
type claim struct{ c *once.Claim }

func (c claim) Started(ctx context.Context) error { return c.c.Started(ctx) }

func (c claim) Finish(ctx context.Context, s proxy.Stored) {
	_ = c.c.Finish(ctx, once.StoredOutcome{Status: s.Status, Header: s.Header, Body: s.Body, Truncated: s.TooLarge})
}

func (c claim) Abandon(ctx context.Context) { _ = c.c.Abandon(ctx) }

func (c claim) Lost(ctx context.Context) { _ = c.c.Lost(ctx) }

package node

import (
	"context"

	"github.com/marlpass/marlpass/internal/once"
	"github.com/marlpass/marlpass/internal/proxy"
)

// dedupAdapter adapts once.Deduplicator to proxy.Deduplicator.
type dedupAdapter struct{ k *once.Deduplicator }

// Begin implements proxy.Deduplicator.
func (k dedupAdapter) Begin(ctx context.Context, c proxy.KeyedCall) (proxy.Claim, *proxy.Stored, error) {
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
		return nil, proxyStored(b.Replay), nil
	}
	return claimAdapter{b.Run}, nil, nil
}

func proxyStored(s *once.StoredOutcome) *proxy.Stored {
	return &proxy.Stored{Status: s.Status, Header: s.Header, Body: s.Body, TooLarge: s.Truncated}
}

// claimAdapter adapts once.Claim to proxy.Claim. It ignores errors of Finish and Abandon, as
// Deduplicator.Flush repeats the write.
type claimAdapter struct{ c *once.Claim }

func (c claimAdapter) Started(ctx context.Context) error { return c.c.Started(ctx) }

func (c claimAdapter) Finish(ctx context.Context, s proxy.Stored) {
	_ = c.c.Finish(ctx, once.StoredOutcome{Status: s.Status, Header: s.Header, Body: s.Body, Truncated: s.TooLarge})
}

func (c claimAdapter) Abandon(ctx context.Context) { _ = c.c.Abandon(ctx) }

func (c claimAdapter) Lost(ctx context.Context) { _ = c.c.Lost(ctx) }

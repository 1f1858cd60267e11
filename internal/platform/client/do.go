package client

import (
	"context"
	"errors"

	"github.com/cenkalti/backoff/v5"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/wait"
)

// operation is one call of a platform interface.
type operation struct {
	name       string // of the operation
	key        string // that it's about
	write      bool
	idempotent bool // harmless to do twice
}

// do runs try until it succeeds, fails for good, or a bound is reached. The
// try returns nil for every answer that settles the operation, a conflict and
// a missing row among them.
func (c *Client) do(ctx context.Context, op operation, try func(context.Context) error) error {
	c.metrics.started(op)
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, c.options.Total)
	defer cancel()
	waits := c.newBackoff()
	doubt := false
	for n := 1; ; n++ {
		f := c.try(ctx, try)
		if caller.Err() == nil {
			c.health.note(f)
		}
		if f == nil {
			return nil
		}
		doubt = doubt || (op.write && f.doubtful())
		again := !f.final && (op.idempotent || !doubt)
		if !again || n == c.options.Tries || wait.For(ctx, waits.NextBackOff()) != nil {
			return c.failed(op, n, f, doubt)
		}
		c.metrics.retries.Inc()
	}
}

// newBackoff returns the waits between tries with full jitter: the library
// draws from interval*(1±factor), so factor 1 draws from 0 to twice the mean.
func (c *Client) newBackoff() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     c.options.FirstBackoff,
		RandomizationFactor: 1,
		Multiplier:          2,
		MaxInterval:         c.options.MaxBackoff,
	}
}

// try makes one try and returns nil or its failure.
func (c *Client) try(ctx context.Context, try func(context.Context) error) *failure {
	if err := c.slots.Acquire(ctx, 1); err != nil {
		return &failure{kind: platform.ErrUnavailable, cause: err, final: true}
	}
	defer c.slots.Release(1)
	bounded, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	p := &progress{traced: c.traces}
	err := try(watch(bounded, p))
	if err == nil {
		return nil
	}
	if ctx.Err() == nil && errors.Is(bounded.Err(), context.DeadlineExceeded) {
		// The connection went silent. Others that idle beside it have likely
		// lost their far end too: drop them, so that retries use fresh ones.
		c.Close()
	}
	return newFailure(err, p)
}

// failed turns the last failure into the error that the caller gets.
func (c *Client) failed(op operation, tries int, f *failure, doubt bool) error {
	e := &Error{Op: op.name, Name: op.key, Tries: tries, Kind: f.kind, Cause: f.cause}
	switch {
	case doubt:
		e.Kind = platform.ErrUnknown
		c.metrics.unknown.Inc()
	case f.doubtful():
		// A read has no effect that could be in doubt.
		e.Kind = platform.ErrUnavailable
		c.metrics.unavailable.Inc()
	default:
		c.metrics.unavailable.Inc()
	}
	return e
}

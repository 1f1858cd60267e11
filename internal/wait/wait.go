// Package wait waits without outliving a context.
package wait

import (
	"context"
	"time"
)

// For returns after d, or with the context's error as soon as ctx ends.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

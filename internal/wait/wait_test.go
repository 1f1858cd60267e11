package wait

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	for _, c := range []struct {
		name          string
		d, ends, want time.Duration // ends: when the context ends
		err           error
	}{
		{"whole", time.Second, time.Minute, time.Second, nil},
		{"cut short", time.Minute, time.Second, time.Second, context.DeadlineExceeded},
		{"nothing to wait for", 0, time.Second, 0, nil},
		{"below zero", -time.Second, time.Second, 0, nil},
		{"ended before", 0, -time.Second, 0, context.DeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), c.ends)
				defer cancel()
				err := For(ctx, c.d)
				if took := time.Since(start); !errors.Is(err, c.err) || took != c.want {
					t.Errorf("got %v after %s, want %v after %s", err, took, c.err, c.want)
				}
			})
		})
	}
}

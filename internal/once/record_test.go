package once

import (
	"context"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// bounded is a table that takes no transaction with a key over the platform's
// bound (api/platform.yaml).
type bounded struct{ *faulty }

const platformKeyBound = 512

func (b bounded) Commit(ctx context.Context, t platform.Txn) error {
	for _, w := range t.Writes {
		if len(w.Key) > platformKeyBound {
			return platform.ErrUnavailable
		}
	}
	return b.faulty.Commit(ctx, t)
}

// One client makes its keys of 600 letters. The platform takes no such row, nor
// anything in the same transaction: bookings of other callers that were claimed
// beside it were refused, or ran without a claim. Both must be claimed.
func TestLongKeyFailsNobody(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		d := New(Options{Table: bounded{table}, Holder: "vm1"})
		first := request(config.OnStoreDownRefuse)
		first.Key = "first"
		long := first
		long.Key = strings.Repeat("x", 600)
		sound := first
		sound.Key = "sound"
		errs := make(chan error, 3)
		for _, r := range []Request{first, long, sound} {
			go func() {
				b, err := d.Begin(background, r)
				if err == nil {
					err = b.Run.Finish(background, StoredOutcome{Status: 201})
				}
				errs <- err
			}()
		}
		for range cap(errs) {
			if err := <-errs; err != nil {
				t.Error(err)
			}
		}
		other := long
		other.Key += "y"
		mustRun(t, d, other)
	})
}

func TestRowKeysDiffer(t *testing.T) {
	long := strings.Repeat("ü", 600)
	hashed := strings.TrimPrefix(rowKey("c", long), rowKey("c", ""))
	seen := make(map[string]bool)
	for _, key := range []string{"", "a", "a/b", long, long + "a", hashed, "/" + hashed} {
		row := rowKey("c", key)
		if seen[row] || len(row) > platformKeyBound {
			t.Errorf("key of %d bytes: row %q", len(key), row)
		}
		seen[row] = true
	}
}

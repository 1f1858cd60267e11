package once

import (
	"context"
	"strings"
	"testing"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// keyLimitedTable rejects transactions with a key over the platform's limit (api/platform.yaml).
type keyLimitedTable struct{ *faultyTable }

const maxPlatformKey = 512

func (b keyLimitedTable) Commit(ctx context.Context, t platform.Txn) error {
	for _, w := range t.Writes {
		if len(w.Key) > maxPlatformKey {
			return platform.ErrUnavailable
		}
	}
	return b.faultyTable.Commit(ctx, t)
}

// Guards against a long key failing other requests: the platform rejects a row key over its limit
// and everything in the same transaction, so requests claimed beside it were refused or ran
// without a claim. All must be claimed.
func TestLongKeyFailsNoOtherClaim(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		d := New(Options{Table: keyLimitedTable{table}, Holder: "vm1"})
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
		if seen[row] || len(row) > maxPlatformKey {
			t.Errorf("key of %d bytes: row %q", len(key), row)
		}
		seen[row] = true
	}
}

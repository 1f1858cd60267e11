package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/once"
	"github.com/marlpass/marlpass/internal/platform/memory"
	"github.com/marlpass/marlpass/internal/proxy"
)

// Guards against a second run of a keyed call whose target changes between two sends. The row
// of a claim must not depend on the target's name: the resend would find no row and run again.
func TestIdempotencyKeySurvivesAChangeOfTarget(t *testing.T) {
	k := dedupAdapter{once.New(once.Options{Table: memory.New(), Holder: "vm1"})}
	send := func(class string) (proxy.Claim, error) {
		c, _, err := k.Begin(context.Background(), proxy.KeyedCall{
			Target: &config.Target{Name: class, Service: "berths"}, Key: "k1",
			Deadline: time.Now().Add(time.Minute),
		})
		return c, err
	}
	c, err := send("bookings")
	if err != nil {
		t.Fatal(err)
	}
	c.Lost(context.Background())
	if _, err := send("launches"); !errors.Is(err, proxy.ErrOutcomeUnknown) {
		t.Errorf("the resend: got %v, want ErrOutcomeUnknown", err)
	}
}

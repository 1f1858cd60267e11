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

// A launch charge runs and its answer is lost. Before its caller sends it again,
// an operator gives launches a class of their own. The resend belongs to that
// class, whose row did not exist, and the charge ran a second time.
func TestKeyOutlivesAChangeOfClasses(t *testing.T) {
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
		t.Errorf("the resend: %v, want that its outcome is unknown", err)
	}
}

package client

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/platform/server"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, testseed.Flags{"rapid.nofailfile": "true"}) }

// Commits meet outages, refusals and lost answers in any order. What the
// client says of each must be true when the table is read afterwards: nil means
// that the row is there, "unavailable" that it isn't, and only "unknown" may
// mean either. A lie in one direction doubles a command, in the other loses it.
func TestOutcomesAreHonest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := fake.NewSeeded(rapid.Uint64().Draw(t, "seed"))
		s := httptest.NewServer(server.New(store))
		defer s.Close()
		c, err := New(Options{URL: s.URL, Timeout: time.Minute, Total: time.Minute,
			FirstBackoff: time.Microsecond, MaxBackoff: time.Microsecond})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for i := range rapid.IntRange(1, 8).Draw(t, "commits") {
			store.Set(fake.Switches{
				Down:     rapid.IntRange(0, 4).Draw(t, "down") == 0,
				FailNext: rapid.IntRange(0, 5).Draw(t, "fail"),
				LoseNext: rapid.IntRange(0, 2).Draw(t, "lose"),
				LoseRate: rapid.SampledFrom([]float64{0, 0.5}).Draw(t, "rate"),
			})
			key := fmt.Sprintf("command/%d", i)
			err := c.Table().Commit(t.Context(), set(key, "v", platform.Condition{Key: key}))
			store.Set(fake.Switches{})
			_, missing := store.Table().Get(t.Context(), key)
			there := !errors.Is(missing, platform.ErrNotFound)
			switch {
			case err == nil && !there:
				t.Fatal("accepted and lost")
			case errors.Is(err, platform.ErrUnavailable) && there:
				t.Fatalf("called unavailable and applied: %v", err)
			case err != nil && errors.Is(err, platform.ErrUnavailable) == errors.Is(err, platform.ErrUnknown):
				t.Fatalf("neither or both: %v", err)
			}
		}
	})
}

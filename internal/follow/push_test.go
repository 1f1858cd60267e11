package follow

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/membership"
)

// Guards against pushes that every peer refuses for their size: each took the time to pack and send
// megabytes before the peer pulled the version.
func TestOnlyChangesThatPeersAcceptArePushed(t *testing.T) {
	r := NewRunner(Defaults("a", "dc", 100), Deps{Views: new(membership.CurrentView), Log: zerolog.Nop()})
	object := func(length int) config.Object {
		return config.EncodeService(config.Service{Name: "s", Team: "t", Description: strings.Repeat("d", length)})
	}
	before, err := config.Succeed(nil, 1, []config.Object{object(1)})
	if err != nil {
		t.Fatal(err)
	}
	for _, length := range []int{10, 1000, 100_000, distribute.MaxPushedBytes, 10 * distribute.MaxPushedBytes} {
		after, err := config.Succeed(before, 2, []config.Object{object(length)})
		if err != nil {
			t.Fatal(err)
		}
		packed, err := r.changesSince(after, before)
		if err != nil {
			t.Fatal(err)
		}
		if pushed := packed != nil; pushed != (length < distribute.MaxPushedBytes/2) {
			t.Errorf("changes of %d bytes: pushed %v", length, pushed)
		}
		if packed == nil {
			continue
		}
		if _, err := distribute.UnpackPushed(packed); err != nil {
			t.Errorf("changes of %d bytes are refused: %v", length, err)
		}
	}
}

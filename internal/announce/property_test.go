package announce

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, nil) }

// Whatever comes in which order: no address and no instance stands twice, the
// bound holds, and whoever's lease has run out is gone after Expire.
func TestRegistryHoldsTogether(t *testing.T) {
	const limit = 4
	rapid.Check(t, func(t *rapid.T) {
		r := NewRegistry(Limits{TTL: DefaultTTL, MaxBackends: limit})
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1400).Draw(t, "ms")) * time.Millisecond)
			instance := fmt.Sprintf("i%d", rapid.IntRange(1, 6).Draw(t, "instance"))
			address := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 6).Draw(t, "port")))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				a := berth(instance, address.String())
				a.State = membership.BackendState(rapid.IntRange(1, 3).Draw(t, "state"))
				_, _ = r.Put(now, a) // refused when full
			case 2:
				r.Withdraw(Withdrawal{Instance: instance, Address: address})
			case 3:
				r.Expire(now)
				for _, b := range r.Load() {
					if !b.Expires.After(now) {
						t.Fatalf("%+v is kept at %v", b, now)
					}
				}
			}
			checkTogether(t, r.Load(), limit)
		}
	})
}

func checkTogether(t *rapid.T, list []Backend, limit int) {
	if len(list) > limit {
		t.Fatalf("%d held", len(list))
	}
	addresses := make(map[netip.AddrPort]bool)
	for i, b := range list {
		if addresses[b.Address] || (i > 0 && list[i-1].Instance >= b.Instance) {
			t.Fatalf("the list is %+v", list)
		}
		addresses[b.Address] = true
		if b.ReadySince.IsZero() == (b.State == membership.BackendReady) {
			t.Fatalf("ready since %v in state %v", b.ReadySince, b.State)
		}
	}
}

func FuzzParseAddress(f *testing.F) {
	for _, s := range []string{"127.0.0.1:80", "[::1]:80", "[::ffff:127.0.0.1]:1", "10.0.0.1:80", "127.0.0.1:0", "x"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		a, err := ParseAddress(s)
		if err == nil && (!a.Addr().IsLoopback() || a.Port() == 0) {
			t.Errorf("%q was taken as %v", s, a)
		}
	})
}

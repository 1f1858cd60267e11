package announce

import (
	"net/netip"
	"regexp"
	"unicode/utf8"

	"github.com/marlpass/marlpass/internal/membership"
)

// Limits of an announcement's fields.
const (
	MaxNameLength    = 63
	MaxServiceLength = 255
	MaxVersionLength = 63
	MaxSlots         = 10000
	MaxLoad          = 1000000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// ParseAddress parses the loopback address that a backend server listens on. A node forwards
// calls to it, so any other address would turn the node into an open relay. The error is a
// FieldError.
func ParseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, &FieldError{"address", "must be an IP address and port such as 127.0.0.1:8080"}
	}
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	return a, checkAddress(a)
}

func checkAddress(a netip.AddrPort) error {
	if !a.Addr().IsLoopback() {
		return &FieldError{"address", "must be on loopback"}
	}
	return checkPort(a)
}

func checkPort(a netip.AddrPort) error {
	if a.Port() == 0 {
		return &FieldError{"address", "must have a port other than 0"}
	}
	return nil
}

func validate(a Announcement, l Limits) error {
	switch {
	case !validName(a.Instance):
		return &FieldError{"instance", "must be lower-case letters, digits and hyphens, at most 63"}
	case a.Service == "" || len(a.Service) > MaxServiceLength || !utf8.ValidString(a.Service):
		return &FieldError{"service", "must have 1 to 255 bytes of UTF-8"}
	case a.Slots < 1 || a.Slots > MaxSlots:
		return &FieldError{"slots", "must be between 1 and 10000"}
	case len(a.Version) > MaxVersionLength:
		return &FieldError{"version", "must have at most 63 characters"}
	case a.Load < 0 || a.Load > MaxLoad:
		return &FieldError{"load", "must be between 0 and 1000000"}
	case a.State < membership.BackendStarting || a.State > membership.BackendDraining:
		return &FieldError{"state", "must be starting, ready or draining"}
	}
	if l.AllowNonLoopback {
		return checkPort(a.Address)
	}
	return checkAddress(a.Address)
}

func validName(s string) bool { return len(s) <= MaxNameLength && namePattern.MatchString(s) }

// Package version tells which build of marlpass a program is.
package version

import (
	"fmt"
	"runtime/debug"
)

// Number is the released version. The release build sets it with
// -ldflags "-X github.com/marlpass/marlpass/internal/version.Number=...".
var Number = "0.1.0-dev"

// Line returns what a program prints for -version.
func Line(program string) string {
	return fmt.Sprintf("%s %s (%s)", program, Number, revision())
}

// revision returns the commit that the program was built from, if the build
// recorded it.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "no build information"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(len(s.Value), 12)]
		}
	}
	return info.GoVersion
}

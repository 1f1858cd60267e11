// Package testseed makes tests that draw their cases give the same verdict on
// every run.
package testseed

import (
	"flag"
	"maps"
	"os"
	"testing"
)

// Flags are flags of the test binary, such as "rapid.steps", and their values.
type Flags map[string]string

// Main is the TestMain of a package that uses rapid: it fixes rapid's seed, sets
// the flags, and runs the tests.
func Main(m *testing.M, more Flags) {
	flag.Parse()
	set := Flags{"rapid.seed": "1"}
	maps.Copy(set, more)
	for name, value := range set {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

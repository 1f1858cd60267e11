package quota

import (
	"testing"

	"github.com/marlpass/marlpass/internal/testseed"
)

// Each schedule simulates a mesh for 24 seconds, which is slow with the race detector, so 40 checks
// replace rapid's default.
func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Flags{"rapid.checks": "40", "rapid.nofailfile": "true"})
}

package proxy

import (
	"testing"

	"github.com/marlpass/marlpass/internal/testseed"
)

// TestMain fixes the random seed.
func TestMain(m *testing.M) { testseed.Main(m, nil) }

package proxy

import (
	"testing"

	"github.com/marlpass/marlpass/internal/testseed"
)

// TestMain makes every run try the same cases.
func TestMain(m *testing.M) { testseed.Main(m, nil) }

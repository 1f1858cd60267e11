package proxy

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes every run try the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

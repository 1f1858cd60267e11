//go:build race

package processtest

// The programs are watched by the race detector when the test is.
func init() { buildFlags = []string{"-race"} }

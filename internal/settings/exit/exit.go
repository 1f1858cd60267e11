// Package exit holds the exit codes that all programs of marlpass share.
package exit

// Exit codes.
const (
	// OK means that the program did what it was asked to do.
	OK = 0
	// Failed means that it tried and failed.
	Failed = 1
	// Usage means that it did not start: the command line or the settings
	// are not valid.
	Usage = 2
)

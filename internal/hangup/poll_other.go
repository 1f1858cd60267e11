//go:build !linux

package hangup

// poller detects nothing: the poll for a peer's close is specific to Linux.
type poller struct{}

func (*poller) poll([]*watch) []int { return nil }

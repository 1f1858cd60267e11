//go:build !linux

package bootclock

import "time"

// start stands in for the boot.
var start = time.Now()

func sinceBoot() time.Duration { return time.Since(start) }

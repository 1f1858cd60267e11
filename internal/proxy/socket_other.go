//go:build !linux

package proxy

import "syscall"

// boundUnacked does nothing where the kernel has no such bound; keep-alive and the deadline of each
// call still apply.
func (Probing) boundUnacked(_, _ string, _ syscall.RawConn) error { return nil }

//go:build !defects

package defect

// On reports whether the process has the defect.
func On(Name) bool { return false }

//go:build defects

package defect

import "os"

var chosen = Name(os.Getenv(Variable))

// On reports whether the process has the defect.
func On(n Name) bool { return chosen == n }

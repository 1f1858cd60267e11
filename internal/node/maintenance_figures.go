package node

import "sync/atomic"

// maintenanceFigures count the work of a maintainer.
type maintenanceFigures struct {
	holds       atomic.Bool // the lease
	taken, lost atomic.Uint64
	failed      atomic.Uint64 // steps
	compacted   atomic.Uint64 // log rows, command rows and objects deleted
	trimmed     atomic.Uint64 // outcomes of keyed calls deleted
}

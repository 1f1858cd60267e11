package node

import "sync/atomic"

// maintenanceStats count the work of a maintainer.
type maintenanceStats struct {
	holdsLease  atomic.Bool // the lease
	taken, lost atomic.Uint64
	failed      atomic.Uint64 // steps
	compacted   atomic.Uint64 // log rows, command rows and objects deleted
	trimmed     atomic.Uint64 // outcomes of keyed calls deleted
}

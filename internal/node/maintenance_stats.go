package node

import "sync/atomic"

// maintenanceStats counts the work of a maintainer.
type maintenanceStats struct {
	holdsLease  atomic.Bool // whether this node holds the lease
	taken, lost atomic.Uint64
	failed      atomic.Uint64 // steps
	compacted   atomic.Uint64 // log rows, command rows and objects deleted
	trimmed     atomic.Uint64 // outcomes of keyed calls deleted
}

package node

import "sync/atomic"

// houseFigures count the work of a housekeeper.
type houseFigures struct {
	holds       atomic.Bool // the lease
	taken, lost atomic.Uint64
	failed      atomic.Uint64 // steps
	compacted   atomic.Uint64 // log rows, command rows and objects deleted
	trimmed     atomic.Uint64 // outcomes of keyed calls deleted
}

package telemetry

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog/diode"
)

// lossyLines is how many lines wait for a slow reader before the oldest are lost,
// about half a megabyte.
const lossyLines = 2048

// Lossy is a writer of log lines that never waits for its reader.
//
// It guards against a log pipe that nobody reads. A plain write to it blocks once
// the pipe is full, and with it whichever call had something to log.
type Lossy struct {
	diode.Writer
	lost atomic.Uint64
}

// NewLossy returns a writer to w. Close writes what is left.
func NewLossy(w io.Writer) *Lossy {
	l := new(Lossy)
	// Without an interval the writer sleeps until there is a line.
	l.Writer = diode.NewWriter(w, lossyLines, 0, func(n int) { l.lost.Add(uint64(n)) })
	return l
}

// Lost returns how many lines were lost since it was last called.
func (l *Lossy) Lost() uint64 { return l.lost.Swap(0) }

package quota

import "time"

const (
	// ReportEvery is the time between two reports of a node to its collector.
	ReportEvery = 300 * time.Millisecond
	// SurgeGap is the least time between two reports, where calls come in a surge.
	SurgeGap = 60 * time.Millisecond
	// ExchangeEvery is the time between two sums that a collector tells another.
	ExchangeEvery = 200 * time.Millisecond
	// RestAfter is how long a node goes on with its reports after the last call of a workspace.
	// By then its usual rates have decayed, and others keep next to nothing for it.
	RestAfter = 30 * time.Second
	// AloneAfter is how long a node without an answer of a collector goes by the last one.
	AloneAfter = 600 * time.Millisecond
)

package quota

import "time"

const (
	// ReportInterval is the time between two reports of a node to its collector.
	ReportInterval = 300 * time.Millisecond
	// MinReportInterval is the least time between two reports, where calls come in a surge.
	MinReportInterval = 60 * time.Millisecond
	// ExchangeInterval is the time between two sums that a collector tells another.
	ExchangeInterval = 200 * time.Millisecond
	// IdleAfter is how long a node goes on with its reports after the last call of a workspace.
	// By then its usual rates have decayed, and others keep next to nothing for it.
	IdleAfter = 30 * time.Second
	// FallbackAfter is how long a node without an answer of a collector goes by the last one.
	FallbackAfter = 600 * time.Millisecond
)

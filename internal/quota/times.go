package quota

import "time"

const (
	// ReportInterval is the time between two reports of a node to its collector.
	ReportInterval = 300 * time.Millisecond
	// MinReportInterval is the least time between two reports during a surge of calls.
	MinReportInterval = 60 * time.Millisecond
	// MinWaitReportInterval is the same while a call waits for the answer that may wait for less than
	// MinReportInterval: a quarter of a latency target of 150 ms is 37 ms.
	MinWaitReportInterval = 20 * time.Millisecond
	// ExchangeInterval is the time between two reports of totals from one collector to another.
	ExchangeInterval = 200 * time.Millisecond
	// IdleAfter is how long a node keeps reporting after its last call of a workspace. By then
	// its average rates have decayed, and collectors reserve next to nothing for it.
	IdleAfter = 30 * time.Second
	// FallbackAfter is how long a node applies the last response of a collector when no new one
	// arrives.
	FallbackAfter = 600 * time.Millisecond
)

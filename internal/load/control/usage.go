package control

import (
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// use is what the process and the platform had done by one moment.
type use struct {
	at            time.Time
	bytes         int64
	cpu           time.Duration
	reads, writes int
}

// cost is what one window took.
type cost struct {
	took          time.Duration
	bytes         float64
	cpu           time.Duration
	reads, writes float64
}

func (u use) until(v use) cost {
	return cost{
		took: v.at.Sub(u.at), bytes: float64(v.bytes - u.bytes), cpu: v.cpu - u.cpu,
		reads: float64(v.reads - u.reads), writes: float64(v.writes - u.writes),
	}
}

// bytesPerNode returns the bytes a second of one of n nodes.
func (c cost) bytesPerNode(n int) float64 { return c.bytes / c.took.Seconds() / float64(n) }

// cpuPerNode returns the percent of one core that one of n nodes took.
func (c cost) cpuPerNode(n int) float64 {
	return 100 * c.cpu.Seconds() / c.took.Seconds() / float64(n)
}

// processCPU returns the processor time of this process. It covers the nodes,
// the stand-in platform and the watching.
func processCPU() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// quantile returns the q-quantile of the delays in milliseconds. It sorts them.
func quantile(ds []time.Duration, q float64) float64 {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	i := int(math.Ceil(q*float64(len(ds)))) - 1
	return ms(ds[max(i, 0)])
}

func ms(d time.Duration) float64 { return round(float64(d) / float64(time.Millisecond)) }

// round keeps three decimal places.
func round(f float64) float64 { return math.Round(f*1000) / 1000 }

package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/marlpass/marlpass/internal/drain"
)

// cpuSampleInterval is the length of the measured intervals.
const cpuSampleInterval = 100 * time.Millisecond

// controlCPUMeter measures the processor time of the control plane.
//
// Go has no processor time per goroutine, and control shares threads, the garbage collector and
// the network poller with calls. So the meter adds up the processor time of the whole process
// over the intervals in which no call was in flight from beginning to end. The sum is measured,
// not estimated, and includes the runtime. On a node that always has calls in flight it stands
// still, and so does the observed time.
type controlCPUMeter struct {
	calls *drain.Calls

	mu            sync.Mutex // guards the fields below; not locked by calls
	cpu, observed time.Duration
}

// run measures one interval after the other until ctx ends.
func (q *controlCPUMeter) run(ctx context.Context) {
	ticker := time.NewTicker(cpuSampleInterval)
	defer ticker.Stop()
	last := q.sample(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			next := q.sample(now)
			q.addInterval(last, next)
			last = next
		}
	}
}

// cpuSample is the state of the process at one moment.
type cpuSample struct {
	at      time.Time
	cpu     time.Duration
	started uint64 // calls since the start of the node
	idle    bool   // no call is in flight
}

func (q *controlCPUMeter) sample(now time.Time) cpuSample {
	// Read started first: a call that starts between the two reads is counted in started at
	// the next sample at the latest.
	started := q.calls.Started()
	return cpuSample{at: now, started: started, idle: q.calls.InFlight() == 0, cpu: processTime()}
}

func (q *controlCPUMeter) addInterval(from, to cpuSample) {
	if !from.idle || !to.idle || from.started != to.started {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cpu += to.cpu - from.cpu
	q.observed += to.at.Sub(from.at)
}

// totals returns the processor time and the observed time, in seconds.
func (q *controlCPUMeter) totals() (cpu, observed float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.cpu.Seconds(), q.observed.Seconds()
}

// processTime returns the processor time of the process, or zero if getrusage fails.
func processTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/marlpass/marlpass/internal/drain"
)

// cpuSampleInterval is the length of the intervals that quiet looks at.
const cpuSampleInterval = 100 * time.Millisecond

// controlCPUMeter measures the processor time of control.
//
// Nothing in Go tells the processor time of some goroutines apart from that of
// others, and control shares its goroutines' threads, the collector and the
// network poller with calls. So quiet adds up the processor time of the whole
// process over those intervals in which the node had no call in its hands, from
// beginning to end. That is control's time, the runtime's own included, and no
// estimate; on a node that is never without calls it stands still, and its
// companion, the time observed, shows that it does.
type controlCPUMeter struct {
	calls *drain.Calls

	mu            sync.Mutex // guards what follows; no call takes it
	cpu, observed time.Duration
}

// run looks at one interval after the other until ctx ends.
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

// cpuSample is what was seen at one moment.
type cpuSample struct {
	at      time.Time
	cpu     time.Duration
	started uint64 // calls, since the start of the node
	idle    bool   // no call is in the node's hands
}

func (q *controlCPUMeter) sample(now time.Time) cpuSample {
	// Read in this order: a call that starts in between shows in started at
	// the next look at the latest.
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

// totals returns the processor time and the time observed, in seconds.
func (q *controlCPUMeter) totals() (cpu, observed float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.cpu.Seconds(), q.observed.Seconds()
}

// processTime returns the processor time of the process, or zero if the system
// does not tell.
func processTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

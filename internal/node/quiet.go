package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/marlpass/marlpass/internal/drain"
)

// quietEvery is the length of the intervals that quiet looks at.
const quietEvery = 100 * time.Millisecond

// quiet measures the processor time of control.
//
// Nothing in Go tells the processor time of some goroutines apart from that of
// others, and control shares its goroutines' threads, the collector and the
// network poller with calls. So quiet adds up the processor time of the whole
// process over those intervals in which the node had no call in its hands, from
// beginning to end. That is control's time, the runtime's own included, and no
// estimate; on a node that is never without calls it stands still, and its
// companion, the time observed, shows that it does.
type quiet struct {
	calls *drain.Calls

	mu        sync.Mutex // guards what follows; no call takes it
	cpu, wall time.Duration
}

// run looks at one interval after the other until ctx ends.
func (q *quiet) run(ctx context.Context) {
	ticker := time.NewTicker(quietEvery)
	defer ticker.Stop()
	last := q.look(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			next := q.look(now)
			q.add(last, next)
			last = next
		}
	}
}

// sight is what was seen at one moment.
type sight struct {
	at      time.Time
	cpu     time.Duration
	started uint64 // calls, since the start of the node
	idle    bool   // no call is in the node's hands
}

func (q *quiet) look(now time.Time) sight {
	// Read in this order: a call that starts in between shows in started at
	// the next look at the latest.
	started := q.calls.Started()
	return sight{at: now, started: started, idle: q.calls.InFlight() == 0, cpu: processTime()}
}

func (q *quiet) add(from, to sight) {
	if !from.idle || !to.idle || from.started != to.started {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cpu += to.cpu - from.cpu
	q.wall += to.at.Sub(from.at)
}

// totals returns the processor time and the time observed, in seconds.
func (q *quiet) totals() (cpu, wall float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.cpu.Seconds(), q.wall.Seconds()
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

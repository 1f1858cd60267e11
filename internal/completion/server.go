package completion

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// figureMillis is how long a stated slowdown has an effect, which falls linearly over this
	// time. Other programs on the VM slow a backend server down for some tenths of a second.
	figureMillis = 600
	// statedMillis is how long a backend server counts as one that states its slowdown after it
	// last did.
	statedMillis = 10_000
	// slowFactor is the slowdown above which calls go elsewhere if they can.
	slowFactor = 1.5
)

const (
	// runMillis is the time over which the usual run time is averaged. It is a few times the
	// duration of a slowdown, and shorter than the time in which a new process warms up.
	runMillis = 2000
	// minRunWeight and maxRunWeight bound the weight of one run in the average. The lower bound
	// keeps an average over the last 20 runs where runs are frequent.
	minRunWeight = 0.05
	maxRunWeight = 0.5
	// maxRunFactor bounds one run relative to the average. Otherwise a single call that takes
	// many times as long as others wherever it runs makes its backend server look slow.
	maxRunFactor = 2
)

// Server holds the run times and the present slowdown of one backend server. A nil Server is one
// that states no slowdown. It is safe for concurrent use and takes no lock once a class is known.
type Server struct {
	instance string
	started  int64
	epoch    time.Time
	slowdown sample
	usual    byName[sample] // run time in ms, by class
	declined atomic.Uint64
}

// millis returns the time since one millisecond before the epoch.
func (s *Server) millis(now time.Time) int64 { return max(1, now.Sub(s.epoch).Milliseconds()+1) }

// Slowdown returns the present slowdown, or Usual if none was stated lately.
func (s *Server) Slowdown(now time.Time) float64 {
	if s == nil {
		return Usual
	}
	return fade(&s.slowdown, s.millis(now))
}

// fade returns the effect of a slowdown by its age.
func fade(slowdown *sample, now int64) float64 {
	v, age, ok := slowdown.load(now)
	if !ok || age >= figureMillis {
		return Usual
	}
	return Usual + (v-Usual)*(1-float64(age)/figureMillis)
}

// Record records the run of a call that was answered now. atStart is the slowdown when it started.
func (s *Server) Record(now time.Time, class string, run time.Duration, atStart float64) {
	if s == nil {
		return
	}
	mean := (atStart + s.Slowdown(now)) / 2
	ms := float64(run) / float64(time.Millisecond) / mean
	s.usual.get(class).mix(ms, s.millis(now), func(old float64, age int64) (float64, float64) {
		return min(ms, maxRunFactor*old), min(max(float64(age)/runMillis, minRunWeight), maxRunWeight)
	})
}

// Report returns what is expected of a call of the class that starts now. It is the zero Run if the
// backend server states no slowdown, or no call of the class has run.
func (s *Server) Report(now time.Time, class string) Run {
	if s == nil {
		return Run{}
	}
	ms := s.millis(now)
	if _, age, ok := s.slowdown.load(ms); !ok || age >= statedMillis {
		return Run{}
	}
	usual := s.usual.find(class)
	if usual == nil {
		return Run{}
	}
	v, _, _ := usual.load(ms)
	return Run{Class: class, Usual: time.Duration(v * float64(time.Millisecond)), Slowdown: fade(&s.slowdown, ms)}
}

// Declines reports whether a call that may still start elsewhere should not start here: because of
// the present slowdown it is expected to take more than slowFactor times as long as usual, or to
// miss its latency target. waited is the time since the caller's first attempt; a target of zero
// means none.
func (s *Server) Declines(now time.Time, class string, waited, target time.Duration) bool {
	slowdown := s.Slowdown(now)
	if slowdown <= Usual {
		return false
	}
	if slowdown > slowFactor {
		return true
	}
	r := s.Report(now, class)
	return target > 0 && waited+r.Usual <= target && target < waited+r.Expected()
}

// CountDeclined counts a declined offer.
func (s *Server) CountDeclined() { s.declined.Add(1) }

// Status is the state of a backend server for operators.
type Status struct {
	Instance string
	Slowdown float64
	Declined uint64
	Runs     []Run // of each class
}

func (s *Server) status(now time.Time) Status {
	st := Status{Instance: s.instance, Slowdown: s.Slowdown(now), Declined: s.declined.Load()}
	for class := range s.usual.all() {
		if r := s.Report(now, class); r.Known() {
			st.Runs = append(st.Runs, r)
		}
	}
	return st
}

// Servers holds the backend servers of one VM that state their slowdown. The zero value is ready
// for use.
type Servers struct {
	mu         sync.Mutex // serialises writers
	byInstance atomic.Pointer[map[string]*Server]
}

// Find returns a backend server, or nil if this incarnation of it has not stated its slowdown.
func (s *Servers) Find(instance string, started int64) *Server {
	m := s.byInstance.Load()
	if m == nil {
		return nil
	}
	if server := (*m)[instance]; server != nil && server.started == started {
		return server
	}
	return nil
}

// Observe records the slowdown that a backend server stated in an answer received now, where zero
// is none, and returns the backend server as Find does.
func (s *Servers) Observe(now time.Time, instance string, started int64, slowdown float64) *Server {
	server := s.Find(instance, started)
	if !(slowdown > 0) { // also not a number
		return server
	}
	if server == nil {
		server = s.add(now, instance, started)
	}
	server.slowdown.set(bounded(slowdown), server.millis(now))
	return server
}

// forgetMillis is how long a backend server that answers no more is kept.
const forgetMillis = 600_000

// add adds a backend server and removes those that have long gone.
func (s *Servers) add(now time.Time, instance string, started int64) *Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	if server := s.Find(instance, started); server != nil {
		return server
	}
	next := make(map[string]*Server)
	if old := s.byInstance.Load(); old != nil {
		maps.Copy(next, *old)
	}
	maps.DeleteFunc(next, func(_ string, server *Server) bool {
		_, age, _ := server.slowdown.load(server.millis(now))
		return age > forgetMillis
	})
	server := &Server{instance: instance, started: started, epoch: now}
	next[instance] = server
	s.byInstance.Store(&next)
	return server
}

// Each calls visit for each backend server that has stated its slowdown.
func (s *Servers) Each(now time.Time, visit func(Status)) {
	if m := s.byInstance.Load(); m != nil {
		for _, server := range *m {
			visit(server.status(now))
		}
	}
}

// byName holds values that are added once and never removed. Reading takes no lock and allocates
// nothing.
type byName[T any] struct {
	mu     sync.Mutex // serialises writers
	values atomic.Pointer[map[string]*T]
}

func (b *byName[T]) all() map[string]*T {
	if m := b.values.Load(); m != nil {
		return *m
	}
	return nil
}

func (b *byName[T]) find(name string) *T { return b.all()[name] }

// get returns the value of a name, added if it is new.
func (b *byName[T]) get(name string) *T {
	if v := b.find(name); v != nil {
		return v
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := b.find(name); v != nil {
		return v
	}
	next := make(map[string]*T, len(b.all())+1)
	maps.Copy(next, b.all())
	v := new(T)
	next[name] = v
	b.values.Store(&next)
	return v
}

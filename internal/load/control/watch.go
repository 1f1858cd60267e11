package control

import (
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/node"
)

// resolution is how often each subject is looked at. A version counts as in
// force when it is first seen so, that is up to this much late.
const resolution = 5 * time.Millisecond

// subject is what is watched: one VM, through all starts of its node. observe
// returns false while nothing runs there.
type subject interface {
	observe() (process any, held node.ServingState, ok bool)
}

// seen is what was observed of one subject.
type seen struct {
	process any
	current *config.Snapshot
	// served is the highest version seen while calls were taken, by any
	// process; counted is the snapshot last counted as a step back.
	served  uint64
	counted *config.Snapshot
	// first is when each version was first in force.
	first map[uint64]time.Time
}

// watch looks at each subject over and over.
type watch struct {
	subjects []subject

	mu       sync.Mutex
	seen     []seen
	versions map[uint64]sent
	whole    map[*config.Snapshot]config.Version // every snapshot seen, with its program's version
	wentBack int

	done, ended chan struct{}
}

func newWatch(subjects []subject) *watch {
	w := &watch{
		subjects: subjects, seen: make([]seen, len(subjects)),
		versions: make(map[uint64]sent), whole: make(map[*config.Snapshot]config.Version),
		done: make(chan struct{}), ended: make(chan struct{}),
	}
	for i := range w.seen {
		w.seen[i].first = make(map[uint64]time.Time)
	}
	go w.run()
	return w
}

func (w *watch) run() {
	defer close(w.ended)
	t := time.NewTicker(resolution)
	defer t.Stop()
	for {
		w.look(time.Now())
		select {
		case <-w.done:
			return
		case <-t.C:
		}
	}
}

func (w *watch) stop() {
	close(w.done)
	<-w.ended
}

// accept tells which versions were accepted so far.
func (w *watch) accept(vs []sent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range vs {
		w.versions[v.version.Number] = v
	}
}

func (w *watch) look(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, s := range w.subjects {
		if process, held, ok := s.observe(); ok {
			w.note(&w.seen[i], now, process, held)
		}
	}
}

// note takes one observation. A step back is an older version in the same
// process, or an older one than was served before in a process that takes
// calls: a restarted node holds nothing at first, and must not serve by it.
func (w *watch) note(s *seen, now time.Time, process any, h node.ServingState) {
	number := h.Snapshot.Version().Number
	back := s.process == process && number < s.current.Version().Number
	back = back || (h.TakesCalls && number < s.served)
	if back && s.counted != h.Snapshot {
		s.counted = h.Snapshot
		w.wentBack++
	}
	if h.TakesCalls {
		s.served = max(s.served, number)
	}
	if s.process == process && s.current == h.Snapshot {
		return
	}
	s.process, s.current = process, h.Snapshot
	w.whole[h.Snapshot] = h.ProgramVersion
	if _, ok := s.first[number]; !ok {
		s.first[number] = now
	}
}

// stepsBack returns how many steps back were seen.
func (w *watch) stepsBack() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.wentBack
}

// halfApplied counts the snapshots that were in force somewhere and are not, as
// a whole, a version that was accepted: the objects are hashed anew.
func (w *watch) halfApplied() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	half := 0
	for s, program := range w.whole {
		if !w.isWhole(s, program) {
			half++
		}
	}
	return half
}

func (w *watch) isWhole(s *config.Snapshot, program config.Version) bool {
	v := s.Version()
	again, err := config.New(v.Number, s.Parent(), s.Objects())
	if err != nil || again.Version() != v || program != v {
		return false
	}
	if v.Number == 0 {
		return len(s.Objects()) == 0
	}
	return w.versions[v.Number].version == v
}

// delays returns, for each subject and each of the versions, how long after it
// was sent the version or a newer one was in force. A subject that never got
// there is counted as missing.
func (w *watch) delays(vs []sent) (out []time.Duration, missing int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.seen {
		for _, v := range vs {
			at, ok := w.seen[i].reached(v.version.Number)
			if !ok {
				missing++
				continue
			}
			out = append(out, at.Sub(v.at))
		}
	}
	return out, missing
}

// reached returns when number or a newer version was first in force.
func (s *seen) reached(number uint64) (at time.Time, ok bool) {
	for n, t := range s.first {
		if n >= number && (!ok || t.Before(at)) {
			at, ok = t, true
		}
	}
	return at, ok
}

// vmSubject is a VM of a fleet.
type vmSubject struct{ node func() *node.Node }

func (v vmSubject) observe() (any, node.ServingState, bool) {
	n := v.node()
	if n == nil {
		return nil, node.ServingState{}, false
	}
	return n, n.ServingState(), true
}

func (f *fleet) subjects() []subject {
	var out []subject
	for _, vm := range f.VMs {
		out = append(out, vmSubject{vm.Node})
	}
	return out
}

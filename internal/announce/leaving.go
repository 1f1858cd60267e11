package announce

import (
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// MarkLeaving records that an incarnation of an instance said, other than by an announcement, that it
// leaves. It counts as draining from then on, whatever its announcements state, and also if it has
// not announced itself yet. started is its start in Unix milliseconds; zero if not known. It returns
// the change, if any.
//
// A backend server that leaves may go on announcing itself as ready, or an announcement that it sent
// before may arrive late.
func (r *Registry) MarkLeaving(instance string, started int64) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Clone(r.Load())
	at, known := find(list, instance)
	if known && started != 0 && list[at].Started != 0 && list[at].Started != started {
		return nil // another incarnation
	}
	if known && started == 0 {
		started = list[at].Started
	}
	r.leaving.add(Announcement{Instance: instance, Started: started})
	if !known || list[at].Leaving {
		return nil
	}
	b := &list[at]
	previous := b.State
	b.Leaving = true
	b.State, b.ReadySince = membership.BackendDraining, time.Time{}
	r.publish(list)
	if previous == membership.BackendDraining {
		return nil
	}
	return []Change{{Kind: Changed, Backend: *b, PreviousState: previous}}
}

// IsDraining reports whether a backend server has said in any way that it leaves.
func (r *Registry) IsDraining(instance string) bool {
	list := r.Load()
	at, known := find(list, instance)
	return known && list[at].State == membership.BackendDraining
}

// isLeaving reports whether the incarnation that sent a has said that it leaves.
func (r *Registry) isLeaving(a Announcement) bool {
	if !r.namesIncarnations(a) && a.State == membership.BackendStarting {
		r.leaving.remove(a.Instance) // it has started anew under its name
	}
	return r.leaving.covers(a)
}

// forgetLeaving forgets that a backend server leaves once it has left, where another may return under
// its name.
func (r *Registry) forgetLeaving(a Announcement) {
	if !r.namesIncarnations(a) {
		r.leaving.remove(a.Instance)
	}
}

// NamesIncarnations reports whether the instance of a backend server and its start, as far as it
// reports one, tell it from all others.
func (r *Registry) NamesIncarnations(started int64) bool {
	return started != 0 || r.limits.NoInstanceReuse
}

func (r *Registry) namesIncarnations(a Announcement) bool { return r.NamesIncarnations(a.Started) }

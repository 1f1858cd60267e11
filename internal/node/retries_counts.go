package node

import (
	"strconv"
	"sync"

	"github.com/marlpass/marlpass/internal/retry"
)

// retryCounts counts retries by urgency, and rejections with slots free by service.
type retryCounts struct {
	slotsFree counterSet
	byUrgency sync.Map // retryUrgency to *counterSet by service
	// inherited and inheritedRefused count inherited retries by service.
	inherited, inheritedRefused counterSet
}

// retryUrgency is the urgency of a retried call.
type retryUrgency struct {
	priority int
	standing retry.Standing
}

// record counts an attempt without an answer and what was decided.
func (r *retryCounts) record(service string, in *retry.Input, d retry.Decision) {
	if in.SlotsFree {
		r.slotsFree.increment(service)
	}
	if !d.Retry || in.Reached == 0 {
		return
	}
	u := retryUrgency{in.Priority, in.Standing()}
	n, ok := r.byUrgency.Load(u)
	if !ok {
		n, _ = r.byUrgency.LoadOrStore(u, new(counterSet))
	}
	n.(*counterSet).increment(service)
}

// recordInherited counts an inherited retry.
func (r *retryCounts) recordInherited(service string, allowed bool) {
	r.inherited.increment(service)
	if !allowed {
		r.inheritedRefused.increment(service)
	}
}

// write writes the counts as metrics.
func (r *retryCounts) write(p page) {
	for service, n := range r.slotsFree.values() {
		p.counter("marlpass_call_rejected_slots_free_total", n, "service", service)
	}
	for service, n := range r.inherited.values() {
		p.counter("marlpass_call_inherited_retries_total", n, "service", service)
	}
	for service, n := range r.inheritedRefused.values() {
		p.counter("marlpass_call_inherited_retries_refused_total", n, "service", service)
	}
	r.byUrgency.Range(func(u, counts any) bool {
		urgency := u.(retryUrgency)
		for service, n := range counts.(*counterSet).values() {
			p.counter("marlpass_call_retry_total", n, "service", service,
				"priority", strconv.Itoa(urgency.priority), "standing", urgency.standing.String())
		}
		return true
	})
}

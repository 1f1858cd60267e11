package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/retry"
	"github.com/marlpass/marlpass/internal/settings"
)

// boundedAttempts is the number of nodes that a call is offered to where its class bounds the
// number of backend servers that may receive it.
const boundedAttempts = 6

// retries keeps one retry.Policy, with its budget, for each service.
type retries struct {
	set       settings.Retries
	nodeCount atomic.Int64 // nodes that share the slack
	byService sync.Map
	// limitsMu is held while limits are set, so that a policy made meanwhile gets those of the
	// latest number of nodes.
	limitsMu sync.Mutex
	reasons  counterSet // decisions by reason
	counts   retryCounts
}

// setNodeCount sets the number of nodes that share the mesh-wide slack. A smaller number than
// before is ignored: behind a partition each side sees fewer nodes, and their larger shares would
// together exceed the slack.
func (r *retries) setNodeCount(n int) {
	r.limitsMu.Lock()
	defer r.limitsMu.Unlock()
	if r.set.Slack == 0 || r.nodeCount.Load() >= int64(n) {
		return
	}
	r.nodeCount.Store(int64(n))
	r.byService.Range(func(_, p any) bool {
		r.setLimits(p.(*retry.Policy))
		return true
	})
}

// bound returns the mesh-wide bound on the retries of each service.
func (r *retries) bound() retry.MeshBound {
	ratio := r.set.Ratio
	if ratio == 0 {
		ratio = retry.DefaultRatio
	}
	return retry.MeshBound{
		Ratio: ratio, Slack: r.set.Slack, Window: r.set.Window.Duration, InheritedKnown: r.set.Inherited,
	}
}

// setLimits sets this node's part of the mesh-wide bound in a policy.
func (r *retries) setLimits(p *retry.Policy) {
	if r.set.Slack > 0 {
		p.SetLimits(r.bound().Limits(int(r.nodeCount.Load())))
	}
}

func (r *retries) options() retry.Options {
	if r.set.Slack == 0 {
		return retry.Options{Budget: retry.BudgetOptions{Ratio: r.set.Ratio}}
	}
	return retry.Options{MaxAttempts: boundedAttempts, ChargeReachedOnly: true, RandomRejections: true}
}

func (r *retries) policy(service string) *retry.Policy {
	if p, ok := r.byService.Load(service); ok {
		return p.(*retry.Policy)
	}
	r.limitsMu.Lock()
	defer r.limitsMu.Unlock()
	fresh := retry.New(r.options())
	r.setLimits(fresh)
	p, _ := r.byService.LoadOrStore(service, fresh)
	return p.(*retry.Policy)
}

// eachBudget calls visit with the retries that remain for each service at this node.
func (r *retries) eachBudget(visit func(service string, remaining float64)) {
	r.byService.Range(func(service, p any) bool {
		visit(service.(string), p.(*retry.Policy).RemainingRetries())
		return true
	})
}

// Called implements proxy.Retrier.
func (r *retries) Called(service string) {
	if r.set.Slack == 0 {
		r.policy(service).RecordCall()
		return
	}
	r.policy(service).RecordCallAt(time.Now())
}

// ChargesInherited implements proxy.InheritedRetrier.
func (r *retries) ChargesInherited() bool { return r.set.Slack > 0 && r.set.Inherited }

// CalledInherited implements proxy.InheritedRetrier.
func (r *retries) CalledInherited(now time.Time, service string) bool {
	allowed := r.policy(service).RecordInherited(now)
	r.counts.recordInherited(service, allowed)
	return allowed
}

// Decide implements proxy.Retrier.
func (r *retries) Decide(service string, in retry.Input) retry.Decision {
	d := r.policy(service).Decide(in)
	r.reasons.increment(string(d.Reason))
	r.counts.record(service, &in, d)
	return d
}

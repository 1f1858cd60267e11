package node

import (
	"sync"
	"sync/atomic"

	"github.com/marlpass/marlpass/internal/retry"
	"github.com/marlpass/marlpass/internal/settings"
)

// Fractions of the mesh-wide retry settings that the nodes use.
//
// A retried call repeats its nested calls, which count at the downstream service beside that
// service's own retries; half of the ratio leaves room for them. One half of the slack is burst
// and the other is earned within the window, so that no window sees more than the whole slack.
const (
	ratioFraction = 0.5
	slackFraction = 0.5
)

// boundedAttempts is the number of nodes that a call is offered to where its class bounds the
// number of backend servers that may receive it.
const boundedAttempts = 6

// boundedBurst is the retry budget's burst per node where the settings bound the retries of the
// whole mesh.
const boundedBurst = 4

// retries keeps one retry.Policy, with its budget, for each service.
type retries struct {
	set       settings.Retries
	nodeCount atomic.Int64 // nodes that share the slack
	byService sync.Map
	reasons   counterSet // decisions by reason
	counts    retryCounts
}

// setNodeCount sets the number of nodes that share the mesh-wide slack.
func (r *retries) setNodeCount(n int) {
	if r.set.Slack == 0 || r.nodeCount.Swap(int64(n)) == int64(n) {
		return
	}
	r.byService.Range(func(_, p any) bool {
		r.setFloor(p.(*retry.Policy))
		return true
	})
}

// setFloor sets this node's part of the slack in a policy.
func (r *retries) setFloor(p *retry.Policy) {
	if r.set.Slack == 0 {
		return
	}
	share := r.set.Slack * slackFraction / float64(max(r.nodeCount.Load(), 1))
	p.SetFloor(share/r.set.Window.Seconds(), share)
}

func (r *retries) options() retry.Options {
	if r.set.Slack == 0 {
		return retry.Options{Budget: retry.BudgetOptions{Ratio: r.set.Ratio}}
	}
	return retry.Options{
		MaxAttempts: boundedAttempts, ChargeReachedOnly: true, RandomRejections: true,
		Budget: retry.BudgetOptions{Ratio: r.set.Ratio * ratioFraction, Burst: boundedBurst},
	}
}

func (r *retries) policy(service string) *retry.Policy {
	if p, ok := r.byService.Load(service); ok {
		return p.(*retry.Policy)
	}
	fresh := retry.New(r.options())
	r.setFloor(fresh)
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
func (r *retries) Called(service string) { r.policy(service).RecordCall() }

// Decide implements proxy.Retrier.
func (r *retries) Decide(service string, in retry.Input) retry.Decision {
	d := r.policy(service).Decide(in)
	r.reasons.increment(string(d.Reason))
	r.counts.record(service, &in, d)
	return d
}

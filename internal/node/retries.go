package node

import (
	"sync"
	"sync/atomic"

	"github.com/marlpass/marlpass/internal/retry"
	"github.com/marlpass/marlpass/internal/settings"
)

// Parts of what the settings allow the whole mesh that its nodes really use.
//
// A call that was sent again makes its own calls again, and those count at the
// service further down beside that one's own retries; half of the ratio leaves
// room for them. Of the slack, one half may be saved up and the other is earned
// within the window, so that no window sees more than the whole.
const (
	ratioFraction = 0.5
	slackFraction = 0.5
)

// boundedAttempts is how many nodes a call is offered to where its class bounds how
// many backend servers may get it.
const boundedAttempts = 6

// boundedBurst is how many retries a node may save up of its calls' part, where
// the settings bound those of the whole mesh.
const boundedBurst = 4

// retries keeps one retry.Policy, with its budget, for each service.
type retries struct {
	set       settings.Retries
	nodeCount atomic.Int64 // that share the slack
	byService sync.Map
	reasons   counterSet // decisions by their reason
}

// setNodeCount tells how many nodes share what the settings allow the mesh.
func (r *retries) setNodeCount(n int) {
	if r.set.Slack == 0 || r.nodeCount.Swap(int64(n)) == int64(n) {
		return
	}
	r.byService.Range(func(_, p any) bool {
		r.setFloor(p.(*retry.Policy))
		return true
	})
}

// setFloor gives a policy this node's part of the slack.
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
		MaxAttempts: boundedAttempts, ChargeReachedOnly: true,
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

// eachBudget calls visit with the repeats that each service's calls have left here.
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
	return d
}

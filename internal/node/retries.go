package node

import (
	"sync"

	"github.com/marlpass/marlpass/internal/retry"
)

// retries keeps one retry.Policy, with its budget, for each service.
type retries struct {
	byService sync.Map
	why       tally // decisions by their reason
}

func (r *retries) policy(service string) *retry.Policy {
	if p, ok := r.byService.Load(service); ok {
		return p.(*retry.Policy)
	}
	p, _ := r.byService.LoadOrStore(service, retry.New(retry.Options{}))
	return p.(*retry.Policy)
}

// Called implements proxy.Retrier.
func (r *retries) Called(service string) { r.policy(service).Called() }

// Decide implements proxy.Retrier.
func (r *retries) Decide(service string, in retry.Input) retry.Decision {
	d := r.policy(service).Decide(in)
	r.why.add(string(d.Why))
	return d
}

package node

import (
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/proxy"
)

// plainAttempts is how often the plain policy sends a call in all.
const plainAttempts = 3

// Plain says which policies of a call are replaced by plain ones. It is for
// measurements: what a policy is worth shows beside a plain one in the same run.
type Plain struct {
	Picker bool // the endpoints in turn
	Gate   bool // as many calls at once as slots, first come, first served
	Retry  bool // up to three attempts, at once
}

// policies are those of a call that Plain can replace.
type policies struct {
	pickers proxy.Pickers
	gates   proxy.Gates
	retrier proxy.Retrier
	robin   *proxy.RoundRobin // nil unless it is in use
}

func (c *callPath) choosePolicies(p Plain) policies {
	out := policies{pickers: c.pickers, gates: c.gates, retrier: new(retries)}
	if p.Picker {
		out.robin = new(proxy.RoundRobin)
		out.pickers = out.robin
	}
	if p.Gate {
		out.gates = new(proxy.FixedLimit)
	}
	if p.Retry {
		out.retrier = proxy.RetryUpTo(plainAttempts)
	}
	return out
}

// update tells the plain picker of the endpoints that take calls.
func (p *policies) update(v *membership.View) {
	if p.robin == nil {
		return
	}
	ready := make(map[string][]proxy.Endpoint)
	for service, list := range endpointsOf(v) {
		for _, e := range list {
			if e.Ready && !e.Draining {
				ready[service] = append(ready[service], proxyEndpoint(&e))
			}
		}
	}
	p.robin.Set(ready)
}

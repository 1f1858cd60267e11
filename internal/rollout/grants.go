package rollout

import "slices"

// openCanaryRatio is the number of servers of the target version for each that remains a canary while
// the others are open.
const openCanaryRatio = 4

// maxUnknown bounds the nodes in a round of messages that have not acknowledged the rollout and are
// not sampled.
const maxUnknown = 16

// maxPending is the number of rounds without a comparison after which the canaries get no calls.
const maxPending = 3

// maxUnreported is the number of grants to a node that are not followed by a report.
const maxUnreported = 3

// canaries returns the servers of the target version that take calls while the rollout runs. There
// are enough for their speeds to be as mixed as the baseline's, but each gets a call per tick.
func (c *Coordinator) canaries() []Server {
	target := slices.DeleteFunc(c.serversOf(true), func(s Server) bool { return !s.Reachable })
	n := int(c.rate() * c.set.Share * c.set.Tick.Seconds())
	return evenlySpaced(target, min(max(n, minCanaries), maxCanaries))
}

// openCanaries returns the servers of the target version that remain canaries while all others are
// open. Entry nodes offer calls to canaries wherever they are; open servers may get none as long as
// those nearby have free slots, and nothing could be compared.
func (c *Coordinator) openCanaries() []Server {
	target := slices.DeleteFunc(c.serversOf(true), func(s Server) bool { return !s.Reachable })
	return evenlySpaced(target, max(1, (len(target)+2)/openCanaryRatio))
}

// sampled returns the servers whose counts are compared.
func (c *Coordinator) sampled() []Server {
	canaries := c.canaries()
	if !c.openedAt.IsZero() || c.record.Phase != Running {
		canaries = evenlySpaced(c.serversOf(true), maxCanaries)
		for _, s := range c.openCanaries() {
			if !slices.Contains(canaries, s) {
				canaries = append(canaries, s)
			}
		}
	}
	baseline := slices.DeleteFunc(c.serversOf(false), func(s Server) bool { return !s.Reachable })
	return append(slices.Clone(canaries), evenlySpaced(baseline, maxBaseline)...)
}

// evenlySpaced returns n servers at even distances in the given order, so that they cover several
// data centres.
func evenlySpaced(servers []Server, n int) []Server {
	if len(servers) <= n {
		return servers
	}
	out := make([]Server, n)
	for i := range out {
		out[i] = servers[i*len(servers)/n]
	}
	return out
}

// Messages returns the messages to send now.
func (c *Coordinator) Messages() []Message {
	c.round++
	grants := make(map[string]Grant)
	switch {
	case c.record.Phase.Final():
		for _, s := range c.servers {
			if !c.acknowledged[s.VM] {
				grants[s.VM] = Grant{}
			}
		}
	case c.record.Phase == Draining || !c.openedAt.IsZero():
		var canaries []Server
		if c.record.Phase == Running {
			canaries = c.openCanaries()
		}
		for _, s := range c.serversOf(true) {
			if slices.Contains(canaries, s) {
				continue
			}
			grants[s.VM] = c.reportedGrant(s.VM, Grant{Kind: GrantOpen, TTL: c.set.GrantTTL})
		}
		for _, s := range c.serversOf(false) {
			if c.record.Phase == Draining && !c.idle[s.key()] {
				grants[s.VM] = Grant{}
			}
		}
	}
	if !c.record.Phase.Final() {
		c.addSampled(grants)
	}
	return c.buildMessages(grants)
}

// addSampled adds the servers whose counts are compared; while the rollout runs, the canaries get
// their share of the calls.
func (c *Coordinator) addSampled(grants map[string]Grant) {
	for _, s := range c.sampled() {
		if _, present := grants[s.VM]; !present {
			grants[s.VM] = Grant{}
		}
	}
	if c.record.Phase != Running {
		return
	}
	c.addUnknown(grants)
	if !c.openedAt.IsZero() {
		c.grantCanaries(c.openCanaries(), grants)
	} else if !c.status.Disturbed && len(c.pending) < maxPending {
		c.grantCanaries(c.canaries(), grants)
	}
}

// addUnknown adds servers of the target version whose nodes have not acknowledged the rollout yet: one
// of them may have been open before.
func (c *Coordinator) addUnknown(grants map[string]Grant) {
	n := 0
	for _, s := range c.serversOf(true) {
		if _, present := grants[s.VM]; !present && !c.acknowledged[s.VM] && n < maxUnknown {
			grants[s.VM] = Grant{}
			n++
		}
	}
}

// unreportedGrants are the grants to a node since its last report.
type unreportedGrants struct{ rounds, calls int }

// reportedGrant returns the grant for a node, or none if the node has not reported on its last
// grants: what its servers answer would stay unknown.
func (c *Coordinator) reportedGrant(vm string, g Grant) Grant {
	u := c.unreported[vm]
	if c.record.Phase == Running && u.rounds >= maxUnreported {
		return Grant{}
	}
	c.unreported[vm] = unreportedGrants{u.rounds + 1, u.calls + g.Calls}
	return g
}

// grantCanaries grants the canaries their calls until the next tick. The remainder of the division
// goes to different canaries each time.
func (c *Coordinator) grantCanaries(canaries []Server, grants map[string]Grant) {
	n := len(canaries)
	if n == 0 {
		return
	}
	whole := initialCalls * n
	if rate := c.rate(); rate > 0 {
		c.callCredit += rate * c.set.Share * c.set.Tick.Seconds()
		whole = int(c.callCredit)
		c.callCredit -= float64(whole)
	}
	for i, s := range canaries {
		calls := whole / n
		if (i+c.grantTicks)%n < whole%n {
			calls++
		}
		grants[s.VM] = c.reportedGrant(s.VM, Grant{Kind: GrantLimited, Calls: calls, TTL: c.set.GrantTTL})
	}
	c.grantTicks++
}

// rate returns the calls per second of the whole service, or zero if unknown.
func (c *Coordinator) rate() float64 {
	var rate float64
	known := 0
	for _, h := range c.counts {
		if h.version != c.order.Target && h.rate > 0 {
			rate += h.rate
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return rate / float64(known) * float64(len(c.serversOf(false)))
}

func (c *Coordinator) buildMessages(grants map[string]Grant) []Message {
	vms := make([]string, 0, len(grants))
	c.messaged = make(map[string]bool, len(grants))
	for vm := range grants {
		vms = append(vms, vm)
		c.messaged[vm] = true
	}
	slices.Sort(vms)
	out := make([]Message, len(vms))
	for i, vm := range vms {
		out[i] = Message{VM: vm, Instruction: Instruction{
			Service: c.order.Service, Order: c.order.Revision, Target: c.order.Target,
			Token: c.token, Phase: c.record.Phase, Replaced: c.record.Replaced, Grant: grants[vm],
		}}
	}
	return out
}

package rollout

import "slices"

// canaries returns the servers of the target version that take calls while the rollout
// runs: so many that their speeds are as mixed as the baseline's, and each gets a call a
// tick.
func (c *Coordinator) canaries() []Server {
	target := slices.DeleteFunc(c.of(true), func(s Server) bool { return !s.Reachable })
	n := int(c.rate() * c.set.Share * c.set.Tick.Seconds())
	return spread(target, min(max(n, fewestCanaries), mostCanaries))
}

// sampled returns the servers whose counts are compared.
func (c *Coordinator) sampled() []Server {
	canaries := c.canaries()
	if !c.expanding.IsZero() || c.record.Phase != Running {
		canaries = spread(c.of(true), mostCanaries)
	}
	return append(slices.Clone(canaries), spread(c.of(false), mostBaseline)...)
}

// spread returns n of the servers, evenly spaced in their order, so that they lie in
// several data centres.
func spread(servers []Server, n int) []Server {
	if len(servers) <= n {
		return servers
	}
	out := make([]Server, n)
	for i := range out {
		out[i] = servers[i*len(servers)/n]
	}
	return out
}

// Messages returns what is to be told to which nodes now.
func (c *Coordinator) Messages() []Message {
	c.round++
	grants := make(map[string]Grant)
	switch {
	case c.record.Phase.Final():
		for _, s := range c.servers {
			if !c.told[s.VM] {
				grants[s.VM] = Grant{}
			}
		}
	case c.record.Phase == Draining || !c.expanding.IsZero():
		for _, s := range c.of(true) {
			grants[s.VM] = Grant{Kind: GrantOpen, TTL: c.set.GrantTTL}
		}
		for _, s := range c.of(false) {
			if c.record.Phase == Draining && !c.held[s.key()] {
				grants[s.VM] = Grant{}
			}
		}
	}
	if !c.record.Phase.Final() {
		c.sample(grants)
	}
	return c.messages(grants)
}

// sample adds those whose counts are compared; while the rollout runs, the canaries get
// their part of the calls.
func (c *Coordinator) sample(grants map[string]Grant) {
	for _, s := range c.sampled() {
		if _, told := grants[s.VM]; !told {
			grants[s.VM] = Grant{}
		}
	}
	if c.record.Phase == Running && c.expanding.IsZero() {
		c.grant(c.canaries(), grants)
	}
}

// grant gives the canaries their calls until the next tick. What doesn't divide goes to
// other ones each time.
func (c *Coordinator) grant(canaries []Server, grants map[string]Grant) {
	n := len(canaries)
	if n == 0 {
		return
	}
	whole := firstCalls * n
	if rate := c.rate(); rate > 0 {
		c.owed += rate * c.set.Share * c.set.Tick.Seconds()
		whole = int(c.owed)
		c.owed -= float64(whole)
	}
	for i, s := range canaries {
		calls := whole / n
		if (i+c.ticks)%n < whole%n {
			calls++
		}
		grants[s.VM] = Grant{Kind: GrantLimited, Calls: calls, TTL: c.set.GrantTTL}
	}
	c.ticks++
}

// rate returns the calls a second of the whole service, or zero if it isn't known.
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
	return rate / float64(known) * float64(len(c.of(false)))
}

func (c *Coordinator) messages(grants map[string]Grant) []Message {
	vms := make([]string, 0, len(grants))
	c.asked = make(map[string]bool, len(grants))
	for vm := range grants {
		vms = append(vms, vm)
		c.asked[vm] = true
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

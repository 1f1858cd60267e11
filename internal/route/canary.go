package route

// canaryShare is the share of calls offered to a canary first. It exceeds the share that canaries
// accept, so that they receive all the calls intended for them.
const canaryShare = 0.08

// pickCanary returns a canary for the first attempt of a call, or nil. It prefers canaries of the
// own data centre. Every call has the same chance, regardless of load and locality, so that a new
// version is tried on the calls it will later get, even where local endpoints always have free
// slots. Further attempts go elsewhere.
func (p *Picker) pickCanary(t *table, now int64, tried []string) *state {
	if !t.hasCanaries || len(tried) > 0 || p.randomFloat() >= canaryShare {
		return nil
	}
	for _, list := range t.canaries {
		if len(list) == 0 {
			continue
		}
		if s := list[p.randomN(len(list))]; usable(s, now, tried) {
			return s
		}
		return nil
	}
	return nil
}

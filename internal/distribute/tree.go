package distribute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// feedersPerDC is how many nodes of a data centre read the platform's head.
// One would leave a gap until its loss is noticed.
const feedersPerDC = 2

// ranked orders ids by rendezvous score for the key, highest first. The
// library go-rendezvous only finds the first of them.
func ranked(key string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, len(ids))
	var d xxhash.Digest
	for i, id := range ids {
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.WriteString(id)
		all[i] = scored{id, d.Sum64()}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.id
	}
	return out
}

// live returns the IDs of live nodes by data centre, this node among them.
func live(v *membership.View, self, dc string) map[string][]string {
	out := map[string][]string{dc: {self}}
	if v == nil {
		return out
	}
	for id, r := range v.Records {
		if id != self && r.State == membership.VMAlive {
			out[r.VM.DataCentre] = append(out[r.VM.DataCentre], id)
		}
	}
	return out
}

// feederChoice returns the nodes among which the feeders of data centre dc are
// chosen: the live ones, or with them the suspect ones where those are most.
//
// A node that is cut off from its neighbours suspects them all. If it chose
// among the live ones, itself, each node would be a feeder, and the platform,
// which it may still reach, would get a read a second from every one.
func feederChoice(v *membership.View, self, dc string) (ids []string, unsure bool) {
	ids = live(v, self, dc)[dc]
	if v == nil {
		return ids, false
	}
	var suspect []string
	for id, r := range v.Records {
		if id != self && r.VM.DataCentre == dc && r.State == membership.VMSuspect {
			suspect = append(suspect, id)
		}
	}
	if len(suspect) <= len(ids) {
		return ids, false
	}
	return append(ids, suspect...), true
}

// tree is the order in which a version passes through the live nodes. Nodes
// whose views differ get slightly different trees; a node that falls between
// them learns of the version from its next membership message.
type tree struct {
	self   string
	dc     string
	fanOut int
	order  map[string][]string // by data centre
}

func newTree(s *Settings, v *membership.View, version config.Version) *tree {
	t := &tree{
		self: s.Self, dc: s.DataCentre, fanOut: s.Profile.FanOut,
		order: live(v, s.Self, s.DataCentre),
	}
	key := string(version.Hash[:])
	for dc, ids := range t.order {
		t.order[dc] = ranked(key, ids)
	}
	return t
}

// children returns the nodes that id tells in its own data centre dc.
func (t *tree) children(dc, id string) []string {
	order := t.order[dc]
	i := slices.Index(order, id)
	if i < 0 {
		return nil
	}
	from := min(t.fanOut*i+1, len(order))
	to := min(t.fanOut*(i+1)+1, len(order))
	return order[from:to]
}

// first reports whether self is the first node of its data centre.
func (t *tree) first() bool { return t.order[t.dc][0] == t.self }

// firsts returns the first node of every data centre.
func (t *tree) firsts() []string {
	var out []string
	for _, ids := range t.order {
		out = append(out, ids[0])
	}
	return out
}

// targets returns the nodes to tell: the children, and for a node that brings
// the version into the mesh the first node of each data centre.
func (t *tree) targets(origin, cross bool) []string {
	out := slices.Clone(t.children(t.dc, t.self))
	if origin || (cross && t.first()) {
		out = append(out, t.firsts()...)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(id string) bool { return id == t.self })
}

// adopted returns the nodes to tell in place of one that cannot be reached.
func (t *tree) adopted(lost string) []string {
	for dc, ids := range t.order {
		if slices.Contains(ids, lost) {
			return slices.DeleteFunc(slices.Clone(t.children(dc, lost)), func(id string) bool { return id == t.self })
		}
	}
	return nil
}

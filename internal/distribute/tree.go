package distribute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

// feedersPerDC is the number of nodes of a data centre that read the platform's head. A single one
// would leave a gap until its loss is detected.
const feedersPerDC = 2

// ranked orders ids by rendezvous score for the key, highest first. The library go-rendezvous
// returns only the first.
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

// liveByDC returns the IDs of live nodes by data centre, including this node.
func liveByDC(v *membership.View, self, dc string) map[string][]string {
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

// feederCandidates returns the nodes among which the feeders of data centre dc are chosen: the live
// ones, and the suspect ones too where these are the majority.
//
// A node that is partitioned from its neighbours suspects them all. If it chose among live nodes,
// it would be the only candidate; each such node would become a feeder, and the platform, which
// they may still reach, would receive one read a second from every node.
func feederCandidates(v *membership.View, self, dc string) (ids []string, mostSuspect bool) {
	ids = liveByDC(v, self, dc)[dc]
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

// tree is the order in which a version passes through the live nodes. Nodes with different views
// get slightly different trees; a node missed because of this learns of the version from its next
// membership message.
type tree struct {
	self   string
	dc     string
	fanOut int
	order  map[string][]string // by data centre
}

func newTree(s *Settings, v *membership.View, version config.Version) *tree {
	t := &tree{
		self: s.Self, dc: s.DataCentre, fanOut: s.Profile.FanOut,
		order: liveByDC(v, s.Self, s.DataCentre),
	}
	key := string(version.Hash[:])
	for dc, ids := range t.order {
		t.order[dc] = ranked(key, ids)
	}
	return t
}

// children returns the nodes to which id pushes in its own data centre dc.
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

// isRoot reports whether self is the first node of its data centre.
func (t *tree) isRoot() bool { return t.order[t.dc][0] == t.self }

// roots returns the first node of every data centre.
func (t *tree) roots() []string {
	var out []string
	for _, ids := range t.order {
		out = append(out, ids[0])
	}
	return out
}

// targets returns the nodes to push to: the children, and for a node that introduces the version to
// the mesh the first node of each data centre.
func (t *tree) targets(origin, cross bool) []string {
	out := slices.Clone(t.children(t.dc, t.self))
	if origin || (cross && t.isRoot()) {
		out = append(out, t.roots()...)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(id string) bool { return id == t.self })
}

// bypassTargets returns the nodes to push to in place of one that cannot be reached.
func (t *tree) bypassTargets(lost string) []string {
	for dc, ids := range t.order {
		if slices.Contains(ids, lost) {
			return slices.DeleteFunc(slices.Clone(t.children(dc, lost)), func(id string) bool { return id == t.self })
		}
	}
	return nil
}

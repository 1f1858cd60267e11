package route

import "github.com/cespare/xxhash/v2"

// spillSubset is how many endpoints of each farther tier a node uses.
const spillSubset = 4

// rank is the rendezvous weight of an endpoint for a node. The go-rendezvous
// module only finds the first endpoint, and a subset needs the first few.
func rank(node, endpoint string) uint64 {
	return rankKey(xxhash.Sum64String(node), endpoint)
}

func rankKey(key uint64, endpoint string) uint64 {
	h := key ^ xxhash.Sum64String(endpoint)
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ (h >> 33)
}

// subsetSize returns how many of have endpoints of a tier this node uses.
//
// With e endpoints and n entry nodes that use k endpoints each, an endpoint
// is used by n*k/e nodes. MinSubset goes before the bound on connections: a
// node with one endpoint has no choice when that endpoint is slow.
func (p *Picker) subsetSize(t tier, have int) int {
	if t == tierRegion && p.opt.RegionWide {
		return min(have, p.opt.Connections)
	}
	if t != tierOwn {
		return min(have, spillSubset)
	}
	nodes := int(p.entries.Load())
	if nodes <= 0 {
		return have
	}
	k := p.opt.Connections * have / nodes
	return min(have, max(k, p.opt.MinSubset))
}

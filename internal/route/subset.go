package route

import "github.com/cespare/xxhash/v2"

// spillSubsetSize is how many endpoints of each farther tier a node uses.
const spillSubsetSize = 4

// rank returns the rendezvous weight of an endpoint for a node. The go-rendezvous module only finds
// the first endpoint, and a subset needs the first few.
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

// subsetSize returns how many of a tier's total endpoints this node uses.
//
// With e endpoints and n entry nodes that use k endpoints each, an endpoint is used by n*k/e nodes.
// MinSubset takes precedence over the bound on connections, since a node with a single endpoint has
// no alternative when that one is slow.
func (p *Picker) subsetSize(t tier, total int) int {
	if t == tierRegion && p.opt.RegionWide {
		return min(total, p.opt.Connections)
	}
	if t != tierOwn {
		return min(total, spillSubsetSize)
	}
	nodes := int(p.entryNodes.Load())
	if nodes <= 0 {
		return total
	}
	k := p.opt.Connections * total / nodes
	return min(total, max(k, p.opt.MinSubset))
}

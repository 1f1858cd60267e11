package node

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/marlpass/marlpass/internal/config"
)

// split distributes the calls of one target over the services of its parts by weight.
type split struct {
	// parts holds a copy of the target for each part, with that part's service.
	parts []*config.Target
	// cumulative holds the running sum of the weights.
	cumulative []uint64
	// counter counts the calls. It starts at random, so that the nodes of a mesh do not all
	// pick the same part when a version comes into force.
	counter atomic.Uint64
}

// newSplits returns the splits of s by target name.
func newSplits(s *config.Snapshot) map[string]*split {
	out := make(map[string]*split)
	for _, t := range s.Targets() {
		if len(t.Split) > 0 {
			out[t.Name] = newSplit(t)
		}
	}
	return out
}

func newSplit(t *config.Target) *split {
	s := new(split)
	var sum uint64
	for _, p := range t.Split {
		part := *t
		part.Service, part.Split = p.Service, nil
		sum += uint64(p.Weight)
		s.parts, s.cumulative = append(s.parts, &part), append(s.cumulative, sum)
	}
	s.counter.Store(rand.Uint64())
	return s
}

// goldenRatio64 is 2^64 divided by the golden ratio. Its multiples are spread so evenly that any
// run of calls follows the weights to within one or two calls, where independent draws would be
// off by the square root of their number.
const goldenRatio64 = 0x9e3779b97f4a7c15

// pick returns the target for the next call.
func (s *split) pick() *config.Target {
	total := s.cumulative[len(s.cumulative)-1]
	// Scale the upper 32 bits to the sum of the weights: both are below 2^32, so the product
	// does not overflow.
	position := (s.counter.Add(1) * goldenRatio64 >> 32) * total >> 32
	for i, bound := range s.cumulative {
		if position < bound {
			return s.parts[i]
		}
	}
	return s.parts[len(s.parts)-1]
}

// forService returns the target of the part with the given service, or nil.
func (s *split) forService(service string) *config.Target {
	for _, p := range s.parts {
		if p.Service == service {
			return p
		}
	}
	return nil
}

package node

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/marlpass/marlpass/internal/config"
)

// split distributes the calls of one target over the services of its parts by weight.
type split struct {
	// parts holds a copy of the target for each service.
	parts []*config.Target
	// cumulative holds the running sum of the weights. It ends with zero if no part has a weight.
	cumulative []uint64
	// counter counts the calls. It starts at random, so that the nodes of a mesh do not all
	// pick the same part when a version comes into force.
	counter atomic.Uint64
	// nowhere is the target of calls that no part takes: without a service.
	nowhere *config.Target
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

// maxPartWeight keeps the sum of the weights within 64 bits.
const maxPartWeight = 1 << 32

func newSplit(t *config.Target) *split {
	s := new(split)
	var sum uint64
	for _, p := range mergeParts(t.Split) {
		part := *t
		part.Service, part.Split = p.Service, nil
		sum += uint64(min(max(p.Weight, 0), maxPartWeight))
		s.parts, s.cumulative = append(s.parts, &part), append(s.cumulative, sum)
	}
	nowhere := *t
	nowhere.Service, nowhere.Split = "", nil
	s.nowhere = &nowhere
	s.counter.Store(rand.Uint64())
	return s
}

// mergeParts adds up the parts of the same service.
func mergeParts(parts []config.Part) []config.Part {
	var out []config.Part
	for _, p := range parts {
		i := slices.IndexFunc(out, func(o config.Part) bool { return o.Service == p.Service })
		if i < 0 {
			out = append(out, p)
			continue
		}
		out[i].Weight += p.Weight
	}
	return out
}

// goldenRatio64 is 2^64 divided by the golden ratio. Its multiples are spread so evenly that any
// run of calls follows the weights to within one or two calls, where independent draws would be
// off by the square root of their number.
const goldenRatio64 = 0x9e3779b97f4a7c15

// pick returns the target for the next call.
func (s *split) pick() *config.Target {
	total := s.cumulative[len(s.cumulative)-1]
	// The upper half of the product scales the position to the sum of the weights.
	position, _ := bits.Mul64(s.counter.Add(1)*goldenRatio64, total)
	for i, bound := range s.cumulative {
		if position < bound {
			return s.parts[i]
		}
	}
	return s.nowhere
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

package node

import (
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/config/match"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/proxy"
)

// program is the compiled form of a snapshot for one node.
type program struct {
	proxy.Program
	// limits holds the classes of each service in the form that gates take.
	limits map[string][]limit.Class
}

// compile builds the program that calls run by, without what s omits. It returns no error.
func compile(s *config.Snapshot) (*program, error) {
	m := match.Compile(s)
	splits := newSplits(s)
	p := &program{
		Program: proxy.Program{
			Matcher: matcher{m, splits}, Targets: targets{s, splits}, Version: s.Version(),
			MaxBody: s.Callers().BodyBytes, Keys: s.Keyring(),
		},
		limits: make(map[string][]limit.Class),
	}
	for _, t := range s.Targets() {
		if split := splits[t.Name]; split != nil {
			for _, part := range split.parts {
				p.limit(part)
			}
			continue
		}
		p.limit(t)
	}
	return p, nil
}

// limit adds a class to those of its service.
func (p *program) limit(t *config.Target) {
	p.limits[t.Service] = append(p.limits[t.Service], limit.Class{
		Name:         t.Name,
		Share:        t.Share,
		Priority:     t.PriorityOrDefault(),
		AnswerWithin: t.AnswerWithin(),
		// For the whole mesh; each gate applies its part.
		RatePerSecond: t.RatePerSecond,
	})
}

// matcher adapts match.Matcher to the proxy, and picks the part of a split for each call.
type matcher struct {
	m      *match.Matcher
	splits map[string]*split
}

func (m matcher) Match(host, path, method string) (*config.Target, bool) {
	c := m.m.Match(host, path, method)
	if c == nil {
		return nil, false
	}
	if split := m.splits[c.Target.Name]; split != nil {
		return split.pick(), true
	}
	return c.Target, true
}

// targets finds the class of a call that another node has matched.
type targets struct {
	s      *config.Snapshot
	splits map[string]*split
}

// Target implements proxy.Targets.
func (t targets) Target(name, service string) *config.Target {
	if split := t.splits[name]; split != nil {
		return split.forService(service)
	}
	if target := t.s.Target(name); target != nil && target.Service == service {
		return target
	}
	return nil
}

// programs returns the program in force to the proxy.
type programs struct{ store *config.Store[*program] }

func (p programs) Program() *proxy.Program { return &p.store.Load().Program.Program }

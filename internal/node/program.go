package node

import (
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/config/match"
	"github.com/marlpass/marlpass/internal/limit"
	"github.com/marlpass/marlpass/internal/proxy"
)

// program is what a snapshot compiles into for one node.
type program struct {
	proxy.Program
	// limits holds the classes of each service, as gates want them.
	limits map[string][]limit.Class
}

// compile turns a snapshot into the program that calls run by. It returns an
// error, and changes nothing, when some part of the snapshot cannot be run.
func compile(s *config.Snapshot) (*program, error) {
	m, err := match.Compile(s)
	if err != nil {
		return nil, err
	}
	splits := newSplits(s)
	p := &program{
		Program: proxy.Program{
			Matcher: matcher{m, splits}, Targets: targets{s, splits}, Version: s.Version(),
			MaxBody: s.Callers().BodyBytes, Keys: config.NewKeyring(s),
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
		// Of the whole mesh; gates take their part of it.
		RatePerSecond: t.RatePerSecond,
	})
}

// matcher gives match.Matcher the shape that the proxy asks for, and draws the
// part of a split that a call goes to.
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

// targets finds the class of a call that another node matched.
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

// programs gives the proxy the program in force.
type programs struct{ store *config.Store[*program] }

func (p programs) Program() *proxy.Program { return &p.store.Load().Program.Program }

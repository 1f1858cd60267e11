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
	p := &program{
		Program: proxy.Program{Matcher: matcher{m}, Targets: s, Version: s.Version()},
		limits:  make(map[string][]limit.Class),
	}
	for _, t := range s.Targets() {
		p.limits[t.Service] = append(p.limits[t.Service], limit.Class{
			Name:         t.Name,
			Share:        t.Share,
			Priority:     t.PriorityOrDefault(),
			AnswerWithin: t.AnswerWithin(),
			// Of the whole mesh; gates take their part of it.
			RatePerSecond: t.RatePerSecond,
		})
	}
	return p, nil
}

// matcher gives match.Matcher the shape that the proxy asks for.
type matcher struct{ m *match.Matcher }

func (m matcher) Match(host, path, method string) (*config.Target, bool) {
	c := m.m.Match(host, path, method)
	if c == nil {
		return nil, false
	}
	return c.Target, true
}

// programs gives the proxy the program in force.
type programs struct{ store *config.Store[*program] }

func (p programs) Program() *proxy.Program { return &p.store.Load().Program.Program }

// Package match compiles a snapshot into an immutable Matcher that finds the
// class of work of a call.
//
// A look-up walks from the longest prefix of the call's path that ends at a
// segment border to the shortest, and asks one hash table at each. Its cost
// follows the depth of the path, not the number of targets, and it allocates
// nothing. The rule is that of config.Match.
package match

import (
	"fmt"
	"slices"
	"strings"

	"github.com/marlpass/marlpass/internal/config"
)

// Class is one class of work, ready for use on the path of a call.
type Class struct {
	Target  *config.Target
	Service *config.Service
	// Index is unique within the Matcher and counts up from zero, so that
	// figures of classes can be kept in a slice.
	Index int
	// methods holds one bit for each method that the target names; zero
	// means every method.
	methods uint16
}

// place is where classes are looked up. Host is the empty string for classes
// of every host, and Prefix has no slash at its end.
type place struct{ host, prefix string }

// Matcher finds classes. It is immutable.
type Matcher struct {
	places  map[place][]*Class // those that name methods come first
	hosts   map[string]string  // the hosts that some class names, by themselves
	classes []*Class           // by name
	longest int                // the length of the longest prefix
}

// Compile returns the matcher of s. It fails when s has not passed Check.
func Compile(s *config.Snapshot) (*Matcher, error) {
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("match: %w", err)
	}
	m := &Matcher{places: make(map[place][]*Class), hosts: make(map[string]string)}
	for i, t := range s.Targets() {
		m.add(&Class{Target: t, Service: s.Service(t.Service), Index: i, methods: bits(t.Match.Methods)})
	}
	for _, cs := range m.places {
		slices.SortStableFunc(cs, methodsFirst)
	}
	return m, nil
}

func (m *Matcher) add(c *Class) {
	at := place{c.Target.Match.Host, c.Target.Match.Prefix()}
	m.places[at] = append(m.places[at], c)
	m.classes = append(m.classes, c)
	m.longest = max(m.longest, len(at.prefix))
	if at.host != "" {
		m.hosts[at.host] = at.host
	}
}

func methodsFirst(a, b *Class) int {
	switch {
	case a.methods != 0 && b.methods == 0:
		return -1
	case a.methods == 0 && b.methods != 0:
		return 1
	}
	return 0
}

// Classes returns all classes, ordered by name. Callers must not change it.
func (m *Matcher) Classes() []*Class { return m.classes }

// Class returns the class of that name, or nil.
func (m *Matcher) Class(name string) *Class {
	i, ok := slices.BinarySearchFunc(m.classes, name, func(c *Class, n string) int {
		return strings.Compare(c.Target.Name, n)
	})
	if !ok {
		return nil
	}
	return m.classes[i]
}

// Match returns the class of a call, or nil. Host may carry a port. Path is
// the decoded path of the URL; one that is not clean (config.CleanPath) belongs
// to no class.
func (m *Matcher) Match(host, path, method string) *Class {
	if !config.CleanPath(path) {
		return nil
	}
	host = m.known(host)
	bit := bitOf(method)
	for end := m.firstCut(path); ; end = strings.LastIndexByte(path[:end], '/') {
		if c := m.at(host, path[:end], bit); c != nil {
			return c
		}
		if end == 0 {
			return nil
		}
	}
}

// firstCut returns the end of the longest prefix of path that ends at a
// segment border and is no longer than any that a class has. Without that
// bound a caller could make one call cost a look-up for each of the thousands
// of segments that fit into a path.
func (m *Matcher) firstCut(path string) int {
	path = strings.TrimSuffix(path, "/")
	if len(path) <= m.longest {
		return len(path)
	}
	return max(0, strings.LastIndexByte(path[:m.longest+1], '/'))
}

// at returns the class at a prefix: of the host first, then of every host.
func (m *Matcher) at(host, prefix string, bit uint16) *Class {
	if host != "" {
		if c := pick(m.places[place{host, prefix}], bit); c != nil {
			return c
		}
	}
	return pick(m.places[place{"", prefix}], bit)
}

func pick(cs []*Class, bit uint16) *Class {
	for _, c := range cs {
		if c.methods == 0 || c.methods&bit != 0 {
			return c
		}
	}
	return nil
}

// known returns the host in lower case and without its port if some class
// names it, and the empty string otherwise.
func (m *Matcher) known(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	host = strings.TrimSuffix(host, ".")
	if len(host) > config.MaxHostLength {
		return ""
	}
	var lower [config.MaxHostLength]byte
	for i := range len(host) {
		b := host[i]
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		lower[i] = b
	}
	return m.hosts[string(lower[:len(host)])]
}

func bits(methods []string) uint16 {
	var b uint16
	for _, m := range methods {
		b |= bitOf(m)
	}
	return b
}

func bitOf(method string) uint16 {
	if i := slices.Index(config.Methods, method); i >= 0 {
		return 1 << i
	}
	return 0
}

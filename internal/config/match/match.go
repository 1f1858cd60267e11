// Package match compiles a snapshot into an immutable Matcher that finds the
// class of work of a call.
//
// A look-up walks from the longest prefix of the call's path that ends at a
// segment border to the shortest, with one hash table look-up at each. Its cost
// follows the depth of the path, not the number of targets, and it allocates
// nothing. The rule is that of config.Match; the path is the one in the request
// line, neither decoded nor cleaned.
package match

import (
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/defect"
)

// Class is one class of work, ready for use on the path of a call.
type Class struct {
	Target *config.Target
	// Index is unique within the Matcher and counts up from zero, so that
	// figures of classes can be kept in a slice.
	Index int
	// methods holds one bit for each method that the target names; zero
	// means every method.
	methods uint16
}

// place is where classes are looked up. host is the empty string for classes
// of every host, and prefix has no slash at its end.
type place struct{ host, prefix string }

// classesAt are the classes of a place. Those that name methods come first.
type classesAt struct {
	slash []*Class // with a prefix that ends with a slash
	bare  []*Class // with a prefix that does not
}

// Matcher finds classes. It is immutable.
type Matcher struct {
	places  map[place]classesAt
	hosts   map[string]string // the hosts that some class names, by themselves
	classes []*Class          // by name
	longest int               // the length of the longest prefix
	// anyHost is set if some class matches every host, and internal if some class is internal.
	anyHost, internal bool
}

// Compile returns the matcher of s, without the targets that s omits.
func Compile(s *config.Snapshot) *Matcher {
	m := &Matcher{places: make(map[place]classesAt), hosts: make(map[string]string)}
	for _, t := range s.Targets() {
		if !s.Shadowed(t.Name) {
			m.add(&Class{Target: t, Index: len(m.classes), methods: bits(t.Match.Methods)})
		}
	}
	for _, cs := range m.places {
		slices.SortStableFunc(cs.slash, methodsFirst)
		slices.SortStableFunc(cs.bare, methodsFirst)
	}
	return m
}

func (m *Matcher) add(c *Class) {
	m.classes = append(m.classes, c)
	m.internal = m.internal || c.Target.Internal()
	prefix, slash := strings.CutSuffix(c.Target.Match.PathPrefix, "/")
	at := place{config.NormalHost(c.Target.Match.Host), prefix}
	cs := m.places[at]
	if slash {
		cs.slash = append(cs.slash, c)
	} else {
		cs.bare = append(cs.bare, c)
	}
	m.places[at] = cs
	m.longest = max(m.longest, len(prefix))
	if at.host == "" {
		m.anyHost = true
		return
	}
	m.hosts[at.host] = at.host
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

// Match returns the class of a call, or nil. Host may carry a port. Path is the
// path in the request line, as the caller sent it.
func (m *Matcher) Match(host, path, method string) *Class {
	host = m.known(host)
	bit := bitOf(method)
	if resolved := m.resolve(path); resolved != path {
		if c := m.byPrefix(host, resolved, bit); c != nil && c.Target.Internal() {
			return c
		}
	}
	return m.byPrefix(host, path, bit)
}

// resolve returns the path that a backend server may get by decoding p and resolving its "." and
// ".." segments, or p if no class is internal.
func (m *Matcher) resolve(p string) string {
	if !m.internal {
		return p
	}
	if decoded, err := url.PathUnescape(p); err == nil {
		p = decoded
	}
	if config.CleanPath(p) {
		return p
	}
	cleaned := path.Clean("/" + p)
	if strings.HasSuffix(p, "/") && cleaned != "/" {
		cleaned += "/"
	}
	return cleaned
}

// byPrefix returns the class with the longest prefix that begins p, or nil.
func (m *Matcher) byPrefix(host, p string, bit uint16) *Class {
	if p == "" || p[0] != '/' {
		return nil
	}
	for end := m.firstCut(p); end >= 0; end = strings.LastIndexByte(p[:end], '/') {
		if c := m.at(host, p[:end], end < len(p), bit); c != nil {
			return c
		}
	}
	return nil
}

// firstCut returns the end of the longest prefix of p that ends at a segment border and is no longer
// than any that a class has. Without that bound a caller could make one call cost a look-up for each
// of the thousands of segments that fit into a path.
func (m *Matcher) firstCut(p string) int {
	if len(p) <= m.longest {
		return len(p)
	}
	return strings.LastIndexByte(p[:m.longest+1], '/')
}

// at returns the class at a prefix, which a slash follows in the path if slash is set. The longer
// prefixes, those with a slash, come before the others, and then the host before every host.
func (m *Matcher) at(host, prefix string, slash bool, bit uint16) *Class {
	var named, unnamed classesAt
	if host != "" {
		named = m.places[place{host, prefix}]
	}
	if m.anyHost {
		unnamed = m.places[place{"", prefix}]
	}
	if slash || defect.On(defect.LoosePrefix) {
		if c := pick(named.slash, unnamed.slash, bit); c != nil {
			return c
		}
	}
	return pick(named.bare, unnamed.bare, bit)
}

// pick returns the first class of named, or else of unnamed, that takes the method.
func pick(named, unnamed []*Class, bit uint16) *Class {
	for _, cs := range [...][]*Class{named, unnamed} {
		for _, c := range cs {
			if c.methods == 0 || c.methods&bit != 0 {
				return c
			}
		}
	}
	return nil
}

// known returns the form of a host by which some class names it, or the empty string. A class may
// name a host with its port.
func (m *Matcher) known(host string) string {
	if len(m.hosts) == 0 {
		return ""
	}
	if named := m.named(host); named != "" {
		return named
	}
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		return m.named(host[:i])
	}
	return ""
}

// named returns the normal form of a host if some class names it, and the empty string otherwise.
func (m *Matcher) named(host string) string {
	host = strings.TrimSuffix(host, ".")
	if len(host) > config.MaxHostLength {
		return m.hosts[config.NormalHost(host)]
	}
	var lower [config.MaxHostLength]byte // saves an allocation
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

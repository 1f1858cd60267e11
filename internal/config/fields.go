package config

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds on the fields of services and targets.
const (
	MaxNameLength        = 63
	MaxHostLength        = 253
	MaxPathPrefixLength  = 512
	MaxDescriptionLength = 512
	MaxDeadline          = time.Hour
	MaxRatePerSecond     = 1e6
	MaxParts             = 16
	MaxWeight            = 1 << 20
	MaxAttempts          = 64
)

// maxLabelLength bounds one part of a host name, as DNS does.
const maxLabelLength = 63

// Methods lists the methods that a Match may name.
var Methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// checker collects the problems of one object.
type checker struct {
	key Key
	ps  []Problem
}

func (c *checker) add(field, format string, args ...any) {
	c.ps = append(c.ps, Problem{Key: c.key, Field: field, Reason: fmt.Sprintf(format, args...)})
}

// want adds the reason unless ok holds.
func (c *checker) want(ok bool, field, format string, args ...any) {
	if !ok {
		c.add(field, format, args...)
	}
}

func (c *checker) name(field, v string) {
	ok := len(v) <= MaxNameLength && wordOf(v, "._-")
	c.want(ok, field, "must be 1 to %d of a-z, 0-9, '.', '_', '-', with a letter or digit at both ends", MaxNameLength)
}

// wordOf reports whether v is made of a-z, 0-9 and the bytes of inner, with a letter or
// digit at both ends. A loop, since names are checked by the thousand when a node starts,
// and a regular expression takes ten times as long.
func wordOf(v, inner string) bool {
	if v == "" || !alphanumeric(v[0]) || !alphanumeric(v[len(v)-1]) {
		return false
	}
	for i := range len(v) {
		if !alphanumeric(v[i]) && strings.IndexByte(inner, v[i]) < 0 {
			return false
		}
	}
	return true
}

func alphanumeric(b byte) bool { return 'a' <= b && b <= 'z' || '0' <= b && b <= '9' }

// hostName reports whether h is a host name in lower case.
func hostName(h string) bool {
	for label := range strings.SplitSeq(h, ".") {
		if len(label) > maxLabelLength || !wordOf(label, "-") {
			return false
		}
	}
	return true
}

func (s *Service) check(name string) []Problem {
	c := &checker{key: Key{KindService, name}}
	c.name("name", s.Name)
	c.want(s.Name == name, "name", "must be the name of the object")
	c.name("team", s.Team)
	c.want(len(s.Description) <= MaxDescriptionLength, "description",
		"must have at most %d bytes", MaxDescriptionLength)
	return c.ps
}

func (t *Target) check(name string) []Problem {
	c := &checker{key: Key{KindTarget, name}}
	c.name("name", t.Name)
	c.want(t.Name == name, "name", "must be the name of the object")
	c.name("team", t.Team)
	c.name("service", t.Service)
	c.host(t.Match.Host)
	c.pathPrefix(t.Match.PathPrefix)
	c.methods(t.Match.Methods)
	c.times(t)
	c.bounds(t)
	c.split(t)
	c.want(oneOf(t.Audience, "", AudiencePublic, AudienceInternal), "audience",
		"must be %q or %q", AudiencePublic, AudienceInternal)
	c.want(oneOf(t.OnStoreDown, "", OnStoreDownRefuse, OnStoreDownWait, OnStoreDownLocalGuard), "on_store_down",
		"must be %q, %q or %q", OnStoreDownRefuse, OnStoreDownWait, OnStoreDownLocalGuard)
	return c.ps
}

func (c *checker) host(h string) {
	ok := h == "" || len(h) <= MaxHostLength && hostName(h)
	c.want(ok, "match.host", "must be a host name in lower case, without a port, or empty for every host")
}

func (c *checker) pathPrefix(p string) {
	const field = "match.path_prefix"
	if !strings.HasPrefix(p, "/") {
		c.add(field, "must begin with '/'")
		return
	}
	c.want(len(p) <= MaxPathPrefixLength, field, "must have at most %d bytes", MaxPathPrefixLength)
	c.want(!strings.ContainsFunc(p, badInPath), field,
		"must not hold spaces, control characters, '?', '#', '%%' or '\\'")
	c.want(CleanPath(p), field, "must not hold empty, '.' or '..' segments")
}

func badInPath(r rune) bool { return r <= ' ' || r == 0x7f || strings.ContainsRune(`?#%\`, r) }

// CleanPath reports whether p begins with '/' and holds no empty, "." or ".."
// segment, save an empty one at its end.
func CleanPath(p string) bool {
	if p == "" || p[0] != '/' {
		return false
	}
	for rest := p[1:]; rest != ""; {
		segment, after, _ := strings.Cut(rest, "/")
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		rest = after
	}
	return true
}

func (c *checker) methods(ms []string) {
	for i, m := range ms {
		c.want(slices.Contains(Methods, m), "match.methods", "%q is not one of %s", m, strings.Join(Methods, ", "))
		c.want(!slices.Contains(ms[:i], m), "match.methods", "%q stands twice", m)
	}
}

func (c *checker) times(t *Target) {
	limit := MaxDeadline.Milliseconds()
	c.want(t.DeadlineMS >= 0 && t.DeadlineMS <= limit, "deadline_ms",
		"must be between 1 and %d, or 0 for the default", limit)
	c.want(t.AnswerWithinMS >= 0 && t.AnswerWithinMS <= limit, "answer_within_ms",
		"must be between 1 and %d, or 0 for no aim", limit)
	c.want(t.TimeoutMS >= 0 && t.TimeoutMS <= limit, "timeout_ms",
		"must be between 1 and %d, or 0 for no bound", limit)
	c.want(t.AnswerWithinMS <= t.Deadline().Milliseconds(), "answer_within_ms",
		"must not be longer than the deadline, %d ms", t.Deadline().Milliseconds())
	c.want(t.Percentile >= 0 && t.Percentile < 100, "percentile",
		"must be over 0 and under 100, or 0 for the default")
}

func (c *checker) bounds(t *Target) {
	c.want(t.Share >= 0 && t.Share <= 1, "share", "must be over 0 and at most 1, or 0 for no bound")
	c.want(t.RatePerSecond >= 0 && t.RatePerSecond <= MaxRatePerSecond, "rate_per_second",
		"must be over 0 and at most %g, or 0 for no bound", float64(MaxRatePerSecond))
	ok := t.Priority == 0 || t.Priority >= MinPriority && t.Priority <= MaxPriority
	c.want(ok, "priority", "must be between %d and %d, or 0 for the default", MinPriority, MaxPriority)
}

// split checks the parts. One of them must get calls, and Service must be the
// first, since nodes of an older version go by it alone.
func (c *checker) split(t *Target) {
	c.want(t.Attempts >= 0 && t.Attempts <= MaxAttempts, "attempts",
		"must be between 1 and %d, or 0 for the default", MaxAttempts)
	if len(t.Split) == 0 {
		return
	}
	total := 0
	for _, p := range t.Split {
		c.want(p.Weight >= 0 && p.Weight <= MaxWeight, "split", "a weight must be between 0 and %d", MaxWeight)
		total += p.Weight
	}
	c.want(total > 0, "split", "must have a part with a weight over 0")
	c.want(len(t.Split) <= MaxParts, "split", "must have at most %d parts", MaxParts)
	c.want(t.Split[0].Service == t.Service, "split", "must begin with the target's service")
}

func oneOf[T comparable](v T, allowed ...T) bool { return slices.Contains(allowed, v) }

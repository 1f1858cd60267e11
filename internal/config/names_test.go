package config

import (
	"regexp"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(
		`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*$`)
)

// Names are checked by a loop. It has to give the verdict of the pattern that the
// operators' page states, or a version that one release accepts ends the next one's start.
func TestNamesAreThoseOfThePatterns(t *testing.T) {
	word := rapid.OneOf(
		rapid.StringMatching(`[a-zA0-9._-]{0,8}`),
		rapid.StringMatching(`[a-z0-9]{62,64}`),
		rapid.StringMatching(`[a-z-]{0,3}(\.[a-z0-9-]{0,3}){0,3}`),
		rapid.String(),
	)
	rapid.Check(t, func(t *rapid.T) {
		v := word.Draw(t, "word")
		if got := wordOf(v, "._-"); got != namePattern.MatchString(v) {
			t.Fatalf("name %q: %v", v, got)
		}
		if got := hostName(v); got != hostPattern.MatchString(v) {
			t.Fatalf("host %q: %v", v, got)
		}
	})
}

// A bad target stays in the mesh's document over several versions that change other
// targets. Each of those versions has to be refused for it, though it is looked at once.
func TestUnsoundObjectIsFoundInEveryVersion(t *testing.T) {
	bad := berths()
	bad.Priority = 10
	objects := []Object{EncodeService(berthService()), EncodeTarget(bad)}
	first, err := Succeed(nil, 1, objects)
	if err != nil {
		t.Fatal(err)
	}
	want := first.Check().Error()
	good := berths()
	good.Name, good.Match.PathPrefix = "spot", "/spots"
	second, err := Succeed(first, 2, append(slices.Clone(objects), EncodeTarget(good)))
	if err != nil {
		t.Fatal(err)
	}
	if err := second.Check(); err == nil || err.Error() != want {
		t.Fatalf("got %v, want %v", err, want)
	}
	mended, err := Succeed(second, 3, []Object{objects[0], EncodeTarget(berths()), EncodeTarget(good)})
	if err != nil || mended.Check() != nil {
		t.Fatalf("%v %v", err, mended.Check())
	}
}

// A target whose strings are not UTF-8 reads differently once it was encoded. The node
// that encoded it must not run it by other strings than all others.
func TestTypedObjectIsWhatItsBytesSay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := berths()
		v.Match.PathPrefix = "/" + rapid.OneOf(rapid.String(), rapid.Just("a\xff"), rapid.Just("\ufffd")).Draw(t, "prefix")
		v.Match.Host = rapid.SampledFrom([]string{"", "a.nl", "a<b", "a\xffb"}).Draw(t, "host")
		o := EncodeTarget(v)
		here := mustNew(t, EncodeService(berthService()), o).Target(v.Name)
		there := mustNew(t, EncodeService(berthService()), Object{Key: o.Key, Raw: o.Raw}).Target(v.Name)
		if here.Match.PathPrefix != there.Match.PathPrefix || here.Match.Host != there.Match.Host {
			t.Fatalf("here %+v, there %+v", here, there)
		}
	})
}

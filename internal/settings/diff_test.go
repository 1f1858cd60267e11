package settings

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// An operator changes several keys and sends SIGHUP. Keys that need a restart
// must be named, or the operator believes them to be in force.
func TestNeedRestart(t *testing.T) {
	a := DefaultNode()
	b := a
	b.Operators = []Operator{{Name: "x"}}
	b.Log.Level = "debug"
	if got := NeedRestart(a, b); got != nil {
		t.Errorf("got %v for keys that are taken at once", got)
	}
	b.Mesh = "other"
	b.Drain.Limit.Duration = time.Second
	b.Peers.Seeds = []string{"127.0.0.1:1"}
	b.Listen.Admin = "127.0.0.1:2"
	want := []string{"mesh", "listen.admin", "peers.seeds", "drain.limit"}
	if got := NeedRestart(a, b); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// The operators' page tells every key and no other.
func TestKeysAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	keys := keysBelow("", reflect.TypeFor[Node]())
	documented := 0
	for line := range strings.Lines(string(page)) {
		cell, ok := strings.CutPrefix(line, "| `")
		if !ok {
			continue
		}
		cell, _, _ = strings.Cut(cell, " | ")
		for key := range strings.SplitSeq(cell, ",") {
			key = strings.Trim(key, "` ")
			if !slices.Contains(keys, key) {
				t.Errorf("the page tells of %s, which is no key", key)
			}
			documented++
		}
	}
	if documented != len(keys) {
		t.Errorf("the page tells of %d keys, there are %d: %v", documented, len(keys), keys)
	}
}

func keysBelow(prefix string, t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		switch {
		case isTable(f):
			out = append(out, keysBelow(key+".", f.Type)...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			out = append(out, keysBelow(key+"[].", f.Type.Elem())...)
		default:
			out = append(out, key)
		}
	}
	return out
}

func TestOverlappingAddresses(t *testing.T) {
	for _, c := range []struct {
		a, b string
		want bool
	}{
		{"10.0.0.1:7800", "10.0.0.1:7800", true},
		{"10.0.0.1:7800", "10.0.0.1:7801", false},
		{"10.0.0.1:7800", "10.0.0.2:7800", false},
		{"0.0.0.0:7800", "127.0.0.1:7800", true},
		{"127.0.0.1:7800", "[::]:7800", true},
		{"127.0.0.1:0", "127.0.0.1:0", false},
		{"nowhere", "nowhere", false},
	} {
		if got := overlap(c.a, c.b); got != c.want {
			t.Errorf("%s and %s: %v", c.a, c.b, got)
		}
	}
}

package config

import (
	"fmt"
	"strings"
	"testing"
)

func harbour(keys ...string) Workspace {
	w := Workspace{Name: "harbour", Team: "yard", Priority: 5, RatePerSecond: 10, Burst: 10}
	for _, k := range keys {
		w.Keys = append(w.Keys, DigestOf(k))
	}
	return w
}

func TestKeyring(t *testing.T) {
	if mustNew(t).Keyring() != nil {
		t.Error("a configuration without workspaces asks for keys")
	}
	s := mustNew(t, EncodeWorkspace(harbour("a", "b")))
	r := s.Keyring()
	if w := r.Holder("b"); w == nil || w.Name != "harbour" || r.Holder("c") != nil || r.Holder("") != nil {
		t.Errorf("%v", w)
	}
	// Nodes that are sent the version read the same.
	o, _ := s.Object(Key{KindWorkspace, "harbour"})
	there := mustNew(t, Object{Key: o.Key, Raw: o.Raw})
	if there.DecodeError() != nil || there.Keyring().Holder("a") == nil {
		t.Errorf("%v", there.DecodeError())
	}
}

// Guards against a call whose workspace can't be told: a key that two workspaces hold serves neither,
// and keeps no other key from service.
func TestKeyWithTwoHoldersServesNeither(t *testing.T) {
	other := harbour("a", "c", "c")
	other.Name = "yard"
	nameless := harbour("d")
	nameless.Name = "a\nb"
	s := mustNew(t, EncodeWorkspace(harbour("a", "b")), EncodeWorkspace(other), EncodeWorkspace(nameless))
	r := s.Keyring()
	for key, want := range map[string]string{"a": "", "b": "harbour", "c": "yard", "d": "", "e": ""} {
		got := ""
		if w := r.Holder(key); w != nil {
			got = w.Name
		}
		if unusable := key == "a" || key == "d"; got != want || r.Unusable(key) != unusable {
			t.Errorf("%s: held by %q, unusable %v", key, got, r.Unusable(key))
		}
	}
	if ps := s.Omitted(); len(ps) != 2 || ps[0].Key.Name != "a\nb" || ps[1].Key.Name != "yard" {
		t.Errorf("%v", ps)
	}
}

// Guards against API keys in what operators read, and nodes send each other in plain text.
func TestKeysAreNotKept(t *testing.T) {
	if o := EncodeWorkspace(harbour("a-secret")); strings.Contains(string(o.Raw), "a-secret") {
		t.Errorf("%s", o.Raw)
	}
}

func TestCheckWorkspaces(t *testing.T) {
	bad := func(change func(*Workspace)) Workspace {
		w := harbour("a")
		change(&w)
		return w
	}
	other := harbour("a")
	other.Name = "yard"
	for name, list := range map[string][]Workspace{
		"priority":   {bad(func(w *Workspace) { w.Priority = MaxPriority + 1 })},
		"rate":       {bad(func(w *Workspace) { w.RatePerSecond = -1 })},
		"burst":      {bad(func(w *Workspace) { w.Burst = -1 })},
		"shared key": {harbour("a"), other},
	} {
		var objects []Object
		for _, w := range list {
			objects = append(objects, EncodeWorkspace(w))
		}
		if mustNew(t, objects...).Check() == nil {
			t.Errorf("%s: was accepted", name)
		}
	}
	if err := mustNew(t, EncodeWorkspace(harbour("a"))).Check(); err != nil {
		t.Error(err)
	}
}

const manyKeys = 10_000

func manyKeysRing(tb testing.TB) *Keyring {
	tb.Helper()
	var objects []Object
	for i := range manyKeys / MaxKeys {
		w := Workspace{Name: fmt.Sprintf("w%04d", i), Team: "yard"}
		for j := range MaxKeys {
			w.Keys = append(w.Keys, DigestOf(fmt.Sprintf("key-%d-%d", i, j)))
		}
		objects = append(objects, EncodeWorkspace(w))
	}
	s, err := New(1, Hash{}, objects)
	if err != nil {
		tb.Fatal(err)
	}
	return s.Keyring()
}

// Guards against keys that cost a call more the more there are.
func TestHolderAllocatesNothing(t *testing.T) {
	ring := manyKeysRing(t)
	if n := testing.AllocsPerRun(100, func() { _ = ring.Holder("key-7-7") }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkHolder(b *testing.B) {
	ring := manyKeysRing(b)
	b.ReportAllocs()
	for b.Loop() {
		if ring.Holder("key-7-7") == nil {
			b.Fatal("no holder")
		}
	}
}

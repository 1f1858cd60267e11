package config

import (
	"bytes"
	"errors"
	"testing"

	"github.com/klauspost/compress/zstd"
	"pgregory.net/rapid"
)

// chain draws a snapshot and the deltas that lead from it to another.
func chain(t *rapid.T) (*Snapshot, []*Delta, *Snapshot) {
	first, err := New(rapid.Uint64Range(0, 1000).Draw(t, "number"), Hash{7}, anyObjects(t))
	if err != nil {
		t.Fatal(err)
	}
	s := first
	var ds []*Delta
	for range rapid.IntRange(0, 4).Draw(t, "steps") {
		var unset []Key
		for _, o := range s.Objects() {
			if rapid.Bool().Draw(t, "unset") {
				unset = append(unset, o.Key)
			}
		}
		next, d, err := s.Next(anyObjects(t), unset)
		if err != nil {
			t.Fatal(err)
		}
		s, ds = next, append(ds, d)
	}
	return first, ds, s
}

func TestDeltasThroughTheCodecGiveTheSameHash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, ds, b := chain(t)
		wire, err := EncodeDeltas(ds)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeDeltas(wire)
		if err != nil {
			t.Fatal(err)
		}
		end, err := ApplyAll(a, got)
		if err != nil || end.Version() != b.Version() {
			t.Fatalf("got %s, want %s: %v", end.Version(), b.Version(), err)
		}
		snap, err := EncodeSnapshot(end)
		if err != nil {
			t.Fatal(err)
		}
		copied, err := DecodeSnapshot(snap)
		if err != nil || copied.Version() != b.Version() || copied.Parent() != b.Parent() {
			t.Fatalf("snapshot: %v", err)
		}
	})
}

// A peer, or the platform, hands out a delta with one object changed, dropped
// or added. Were it applied, this node would run what no operator stated under
// a version number that others hold with another content.
func TestDamagedDeltaNeverApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, ds, _ := chain(t)
		if len(ds) == 0 {
			return
		}
		i := rapid.IntRange(0, len(ds)-1).Draw(t, "which")
		d := *ds[i]
		switch rapid.IntRange(0, 4).Draw(t, "damage") {
		case 0:
			d.Set = append([]Object{{Key: Key{KindService, "zz"}, Raw: []byte("{}")}}, d.Set...)
		case 1:
			d.To.Hash[3] ^= 1
		case 2:
			d.To.Number++
		case 3:
			d.From.Hash[0] ^= 1
		case 4:
			if len(d.Set) == 0 {
				return
			}
			o := d.Set[0]
			d.Set = append([]Object{{Key: o.Key, Raw: append(bytes.Clone(o.Raw), ' ')}}, d.Set[1:]...)
		}
		ds[i] = &d
		got, err := ApplyAll(a, ds)
		if err == nil || got != a {
			t.Fatal("a damaged delta was applied")
		}
	})
}

func TestDecodeSnapshotRefusesDamage(t *testing.T) {
	s := mustNew(t, EncodeService(berthService()))
	plain, err := decoder().DecodeAll(must(EncodeSnapshot(s)), nil)
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Replace(plain, []byte("berths"), []byte("cranes"), 1)
	if _, err := DecodeSnapshot(encoder().EncodeAll(changed, nil)); !errors.Is(err, ErrHashMismatch) {
		t.Errorf("changed content: %v", err)
	}
	if _, err := DecodeSnapshot(plain); !errors.Is(err, ErrBadEncoding) {
		t.Errorf("not compressed: %v", err)
	}
}

// A peer sends 20 KB that expand to 64 MB. The node must refuse it before the
// memory is taken.
func TestDecodeIsBounded(t *testing.T) {
	e, _ := zstd.NewWriter(nil)
	bomb := e.EncodeAll(make([]byte, 4*MaxDecoded), nil)
	if _, err := DecodeSnapshot(bomb); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v", err)
	}
	if _, err := DecodeDeltas(bomb); !errors.Is(err, ErrTooLarge) {
		t.Errorf("got %v", err)
	}
}

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(must(EncodeSnapshot(Empty())))
	f.Add(must(EncodeSnapshot(mustNew(f, EncodeService(berthService()), EncodeTarget(berths())))))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeSnapshot(b)
		if err != nil {
			return
		}
		again, err := DecodeSnapshot(must(EncodeSnapshot(s)))
		if err != nil || again.Version() != s.Version() {
			t.Fatalf("does not survive a round trip: %v", err)
		}
		_ = s.Check()
	})
}

// FuzzSnapshotJSON feeds the JSON under the compression, which the other target
// hardly ever reaches with changed bytes.
func FuzzSnapshotJSON(f *testing.F) {
	f.Add([]byte(`{"version":{"number":1,"hash":""},"parent":"","objects":[{"key":{"kind":"target","name":"a"},"raw":"{}"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := DecodeSnapshot(encoder().EncodeAll(b, nil)); err == nil {
			_ = s.Check()
		}
	})
}

func FuzzDecodeDeltas(f *testing.F) {
	_, d, err := Empty().Next([]Object{EncodeService(berthService())}, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(must(EncodeDeltas([]*Delta{d})))
	f.Add(encoder().EncodeAll([]byte(`[null]`), nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		ds, err := DecodeDeltas(b)
		if err != nil {
			return
		}
		if s, err := ApplyAll(Empty(), ds); err == nil && len(ds) > 0 && s.Version() != ds[len(ds)-1].To {
			t.Fatal("applied to another version than promised")
		}
	})
}

func must(b []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return b
}

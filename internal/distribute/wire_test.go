package distribute

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

func TestPackAndUnpack(t *testing.T) {
	ds, snap := history(t, "booking", 20)
	ds[3].By, ds[3].Note, ds[3].AtMS = "ana", "monsoon", 1764700000000
	for _, n := range []int{1, 20} {
		p, err := Pack(ds[:n], snap)
		if err != nil {
			t.Fatal(err)
		}
		gotDeltas, gotSnap, err := Unpack(p)
		if err != nil {
			t.Fatal(err)
		}
		if gotSnap.Version() != snap.Version() {
			t.Fatal("the decoded snapshot differs")
		}
		head := config.Empty()
		for i, d := range gotDeltas {
			if head, err = d.Apply(head); err != nil {
				t.Fatal(err)
			}
			if fmt.Sprint(d.By, d.Note, d.AtMS) != fmt.Sprint(ds[i].By, ds[i].Note, ds[i].AtMS) {
				t.Fatalf("delta %d lost its metadata", i)
			}
		}
		if head.Version() != ds[n-1].To {
			t.Fatal("the deltas lead to another version")
		}
	}
}

// Guards against a small message that decompresses to more memory than the limit.
func TestUnpackIsBounded(t *testing.T) {
	bomb := encoder.EncodeAll(bytes.Repeat([]byte{0}, maxUnpackedBytes+1), nil)
	if _, _, err := Unpack(&peerpb.Packed{Data: bomb, Zstd: true}); !errors.Is(err, ErrBadAnswer) {
		t.Fatal(err)
	}
}

// FuzzUnpack checks that any input gives an error that marks it as invalid, or changes that Pack
// can encode again.
func FuzzUnpack(f *testing.F) {
	s, d, err := config.Empty().Next([]config.Object{config.EncodeService(config.Service{Name: "booking", Team: "t"})}, nil)
	if err != nil {
		f.Fatal(err)
	}
	p, err := Pack([]*config.Delta{d}, s)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(p.Data, false)
	f.Add(encoder.EncodeAll(p.Data, nil), true)
	f.Fuzz(func(t *testing.T, data []byte, packed bool) {
		ds, snap, err := Unpack(&peerpb.Packed{Data: data, Zstd: packed})
		if err != nil {
			if !errors.Is(err, ErrBadAnswer) {
				t.Fatal(err)
			}
			return
		}
		if _, err := Pack(ds, snap); err != nil {
			t.Fatal(err)
		}
	})
}

func TestChainRelations(t *testing.T) {
	c := newChain(3, 1<<20)
	c.maxAncestors = 3
	ds, _ := history(t, "booking", 6)
	other, _ := history(t, "other", 8)
	for _, d := range ds {
		if err := c.apply(d); err != nil {
			t.Fatal(err)
		}
	}
	want := map[uint64]relation{1: relationUnknown, 2: relationUnknown, 3: relationHeld, 5: relationHeld, 6: relationHeld}
	for n, r := range want {
		if got := c.relation(ds[n-1].To); got != r {
			t.Errorf("version %d: %d, want %d", n, got, r)
		}
		if got := c.relation(other[n-1].To); r == relationHeld && got != relationOther {
			t.Errorf("version %d of another history: %d", n, got)
		}
	}
	if got := c.relation(other[7].To); got != relationUnknown {
		t.Errorf("a newer version: %d", got)
	}
	if _, ok := c.since(ds[1].To); ok {
		t.Error("dropped deltas were returned")
	}
	if got, ok := c.since(ds[3].To); !ok || !slices.Equal(got, ds[4:]) {
		t.Errorf("since 4: %v %t", got, ok)
	}
	if _, ok := c.since(other[3].To); ok {
		t.Error("deltas for another history")
	}
	c.maxBytes = 1
	c.trim()
	if len(c.deltas) != 0 || c.bytes != 0 {
		t.Errorf("%d deltas of %d bytes over the bound", len(c.deltas), c.bytes)
	}
}

// Guards a partitioned node against not learning that its version is in the history: a chain knows
// versions long after their deltas are dropped, and those before a reset.
func TestChainKeepsAncestorsWithoutDeltas(t *testing.T) {
	c := newChain(1, 1<<20)
	ds, _ := history(t, "booking", 4)
	_, far := history(t, "booking", 9)
	for _, d := range ds {
		if err := c.apply(d); err != nil {
			t.Fatal(err)
		}
	}
	c.reset(far)
	for _, d := range ds {
		if got := c.relation(d.To); got != relationHeld {
			t.Errorf("version %d: %d", d.To.Number, got)
		}
	}
	other, _ := history(t, "other", 2)
	if got := c.relation(other[1].To); got != relationOther {
		t.Errorf("version 2 of another history: %d", got)
	}
}

// Guards against a node that gets a version twice, or not at all, from its data centre's tree.
func TestTreeReachesEachNodeOnce(t *testing.T) {
	b := newTestBench(t)
	for i := range 57 {
		b.view.Records[fmt.Sprint("vm", i)] = b.view.Records["self"]
	}
	_, snap := history(t, "booking", 1)
	tr := newTree(&b.s.set, b.view, snap.Version())
	pushes := make(map[string]int)
	for _, id := range tr.order["dc"] {
		for _, c := range tr.children("dc", id) {
			pushes[c]++
		}
	}
	for i, id := range tr.order["dc"] {
		if want := min(i, 1); pushes[id] != want {
			t.Errorf("rank %d receives %d pushes", i, pushes[id])
		}
	}
}

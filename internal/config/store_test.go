package config

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

var errCompile = errors.New("does not compile")

// Updates cross in flight: version 7 comes before 6, 5 comes twice, and 8 does
// not compile here. A caller must never be served by an older version after a
// newer one, nor by one that compiled in part.
func TestStoreNeverGoesBackAndNeverHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []*Snapshot{Empty()}
		bad := map[Version]bool{}
		for i := range 8 {
			d := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "description")
			last := versions[i]
			next, _, err := last.Next([]Object{EncodeService(Service{Name: "s", Team: "t", Description: d})}, nil)
			if err != nil {
				t.Fatal(err)
			}
			versions = append(versions, next)
			bad[next.Version()] = rapid.IntRange(0, 3).Draw(t, "bad") == 0
		}
		store, err := NewStore(func(s *Snapshot) (Version, error) {
			if bad[s.Version()] {
				if s.Version().Number%2 == 0 {
					panic("compile")
				}
				return s.Version(), errCompile
			}
			return s.Version(), nil
		})
		if err != nil {
			t.Fatal(err)
		}
		var highest uint64
		var newest Version // refused
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			n := rapid.SampledFrom(versions).Draw(t, "offer")
			was := store.Load()
			took, err := store.Offer(n)
			now := store.Load()
			want := n.Version().Number > was.Snapshot.Version().Number && !bad[n.Version()]
			if took != want || took && err != nil || !took && now != was {
				t.Fatalf("offered %s on %s: took %v, %v", n.Version(), was.Snapshot.Version(), took, err)
			}
			if now.Program != now.Snapshot.Version() || now.Snapshot.Version().Number < highest {
				t.Fatal("half in force, or went back")
			}
			highest = now.Snapshot.Version().Number
			r := store.Refused()
			if r != nil && r.Version.Number <= highest {
				t.Fatal("tells of a refused version that is behind the running one")
			}
			if bad[n.Version()] && n.Version().Newer(newest) {
				newest = n.Version()
			}
			if newest.Number > highest && (r == nil || r.Version != newest) {
				t.Fatal("does not tell of the newest refused version")
			}
		}
	})
}

// What an operator would see: version 2 cannot run here, but the handover tells
// of version 1 only. Offers cross in flight, and 1, refused as well, came late.
func TestStoreTellsOfTheNewestRefused(t *testing.T) {
	store, err := NewStore(func(s *Snapshot) (int, error) {
		if s.Version().Number > 0 {
			return 0, errCompile
		}
		return 0, nil
	})
	if err != nil {
		t.Fatal(err)
	}
	one, _, err := Empty().Next([]Object{EncodeService(Service{Name: "s", Team: "t"})}, nil)
	if err != nil {
		t.Fatal(err)
	}
	two, _, err := one.Next([]Object{EncodeService(Service{Name: "u", Team: "t"})}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range []*Snapshot{two, one} {
		if _, err := store.Offer(n); !errors.Is(err, errCompile) {
			t.Fatal(err)
		}
	}
	if r := store.Refused(); r == nil || r.Version != two.Version() {
		t.Fatalf("tells of %+v", r)
	}
}

// The platform's table is restored from a backup and operators go on from
// there. A version then exists twice with different content. A proxy that took
// the second would silently drop what the first had promised.
func TestStoreTellsOtherHistory(t *testing.T) {
	step := func(s *Snapshot, d string) *Snapshot {
		n, _, err := s.Next([]Object{EncodeService(Service{Name: "s", Team: "t", Description: d})}, nil)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	ours, theirs := step(Empty(), "ours"), step(Empty(), "theirs")
	for _, foreign := range []*Snapshot{theirs, step(theirs, "x")} {
		store, err := NewStore(func(*Snapshot) (int, error) { return 0, nil })
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Offer(ours); err != nil || store.OtherHistory() != nil {
			t.Fatal(err)
		}
		took, err := store.Offer(foreign)
		if took || !errors.Is(err, ErrOtherHistory) || store.Load().Snapshot != ours {
			t.Errorf("%s: took %v, %v", foreign.Version(), took, err)
		}
		if r := store.OtherHistory(); r == nil || r.Version != foreign.Version() {
			t.Errorf("not told: %v", r)
		}
	}
}

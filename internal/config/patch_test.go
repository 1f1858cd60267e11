package config

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Whatever two versions hold, what is sent of the second to a node that has the
// first gives it the second, and nothing to a node that has another.
func TestPatchLeadsFromOneToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(number uint64) *Snapshot {
			names := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 8, rapid.ID[int]).Draw(t, "names")
			var objects []Object
			for _, n := range names {
				objects = append(objects, EncodeService(Service{
					Name: fmt.Sprintf("s%d", n), Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
				}))
			}
			s, err := Succeed(nil, number, objects)
			if err != nil {
				t.Fatal(err)
			}
			return s
		}
		a, b, c := draw(3), draw(7), draw(4)
		d := b.Since(a)
		if got, err := d.Patch(a); err != nil || got.Version() != b.Version() {
			t.Fatalf("%v %v", got, err)
		}
		if _, err := d.Patch(c); !errors.Is(err, ErrWrongParent) {
			t.Fatal(err)
		}
		d.Set = append(d.Set, EncodeService(Service{Name: "more", Team: "x"}))
		if _, err := d.Patch(a); !errors.Is(err, ErrHashMismatch) {
			t.Fatal(err)
		}
	})
}

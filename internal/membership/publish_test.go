package membership

import "testing"

// Guards against a false report of two configuration histories: a newer version is gossiped as
// one bit without its record, and the view combined the new version with the hash of the old
// one.
func TestHashBelongsToTheVersion(t *testing.T) {
	s := &State{}
	e := &entry{
		rec:    Record{State: VMAlive, AppliedVersion: 1, AppliedHash: [8]byte{1}},
		centre: &centre{name: "dc"},
	}
	if r := s.observed(e); r.AppliedVersion != 1 || r.AppliedHash != [8]byte{1} {
		t.Errorf("want the values of the record: %d %x", r.AppliedVersion, r.AppliedHash)
	}
	e.heldVersion, e.published = 2, nil
	if r := s.observed(e); r.AppliedVersion != 2 || r.AppliedHash != [8]byte{} {
		t.Errorf("want version 2 without a hash: %d %x", r.AppliedVersion, r.AppliedHash)
	}
}

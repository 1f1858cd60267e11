package membership

import "testing"

// What operators would see: "two histories of the configuration" after the first
// change. That a node holds a newer version rides on messages as one bit, and
// its record, with the hash of an older version, is not sent again. The view
// gave out the new number with the old hash.
func TestHashBelongsToTheVersion(t *testing.T) {
	s := &State{}
	e := &entry{
		rec:    Record{State: VMAlive, AppliedVersion: 1, AppliedHash: [8]byte{1}},
		centre: &centre{name: "dc"},
	}
	if r := s.seen(e); r.AppliedVersion != 1 || r.AppliedHash != [8]byte{1} {
		t.Errorf("as its record says: %d %x", r.AppliedVersion, r.AppliedHash)
	}
	e.held, e.published = 2, nil
	if r := s.seen(e); r.AppliedVersion != 2 || r.AppliedHash != [8]byte{} {
		t.Errorf("seen with version 2: %d with the hash %x", r.AppliedVersion, r.AppliedHash)
	}
}

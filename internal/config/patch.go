package config

import "bytes"

// Since returns the delta that leads from before to s, both accepted elsewhere.
func (s *Snapshot) Since(before *Snapshot) *Delta {
	d := &Delta{From: before.version, To: s.version}
	for _, o := range s.objects {
		if was, ok := before.Object(o.Key); !ok || !bytes.Equal(was.Raw, o.Raw) {
			d.Set = append(d.Set, o)
		}
	}
	for _, o := range before.objects {
		if _, ok := s.Object(o.Key); !ok {
			d.Unset = append(d.Unset, o.Key)
		}
	}
	return d
}

// Patch returns the snapshot of a version accepted elsewhere to which d leads from
// s, over any number of versions in between. It fails, as Apply does, when d is for
// another snapshot or does not give the hash that it promises.
func (d *Delta) Patch(s *Snapshot) (*Snapshot, error) {
	// The hash covers the number, which messages between nodes leave out.
	if d.From.Hash != s.version.Hash || !d.To.Newer(s.version) {
		return nil, ErrWrongParent
	}
	next, err := Succeed(s, d.To.Number, s.merged(d.Set, d.Unset))
	if err != nil {
		return nil, err
	}
	if next.version != d.To {
		return nil, ErrHashMismatch
	}
	return next, nil
}

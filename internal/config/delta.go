package config

// Delta turns the snapshot From into the snapshot To. Set holds objects added
// or replaced, Unset the keys removed. Created, By, Team, AtMS, Command and Note
// are for the history and take no part in the hash.
type Delta struct {
	From    Version  `json:"from"`
	To      Version  `json:"to"`
	Set     []Object `json:"set,omitempty"`
	Unset   []Key    `json:"unset,omitempty"`
	Created []Key    `json:"created,omitempty"` // those of Set that From does not hold
	By      string   `json:"by,omitempty"`
	Team    string   `json:"team,omitempty"`
	AtMS    int64    `json:"at_ms,omitempty"` // Unix milliseconds at the accepting node
	Command string   `json:"command,omitempty"`
	Note    string   `json:"note,omitempty"`
}

// Next builds the child of s with the given objects set and removed, and the
// delta that leads to it.
func (s *Snapshot) Next(set []Object, unset []Key) (*Snapshot, *Delta, error) {
	child, err := build(s.version.Number+1, s.version.Hash, s.merged(set, unset), s)
	if err != nil {
		return nil, nil, err
	}
	d := &Delta{From: s.version, To: child.version, Set: set, Unset: unset}
	for _, o := range set {
		if _, ok := s.Object(o.Key); !ok {
			d.Created = append(d.Created, o.Key)
		}
	}
	return child, d, nil
}

// Apply returns the snapshot that d leads to from s. It fails, and s stays as
// it is, when d is for another parent or does not give the hash it promises.
func (d *Delta) Apply(s *Snapshot) (*Snapshot, error) {
	if d.From != s.version || d.To.Number != s.version.Number+1 {
		return nil, ErrWrongParent
	}
	child, err := build(d.To.Number, s.version.Hash, s.merged(d.Set, d.Unset), s)
	if err != nil {
		return nil, err
	}
	if child.version != d.To {
		return nil, ErrHashMismatch
	}
	return child, nil
}

func (s *Snapshot) merged(set []Object, unset []Key) []Object {
	out := make([]Object, 0, len(s.objects)+len(set))
	replaced := make(map[Key]bool, len(set)+len(unset))
	for _, k := range unset {
		replaced[k] = true
	}
	for _, o := range set {
		replaced[o.Key] = true
	}
	for _, o := range s.objects {
		if !replaced[o.Key] {
			out = append(out, o)
		}
	}
	return append(out, set...)
}

// Size returns the number of bytes of the objects and keys in d.
func (d *Delta) Size() int {
	n := 0
	for _, o := range d.Set {
		n += len(o.Key.Kind) + len(o.Key.Name) + len(o.Raw)
	}
	for _, k := range d.Unset {
		n += len(k.Kind) + len(k.Name)
	}
	return n
}

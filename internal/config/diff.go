package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Op says what happened to an object.
type Op string

// What can happen to an object.
const (
	OpAdded   Op = "added"
	OpChanged Op = "changed"
	OpRemoved Op = "removed"
)

// FieldChange is one field with its values as JSON; an absent value is empty.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Change tells how one object differs between two snapshots.
type Change struct {
	Key    Key           `json:"key"`
	Op     Op            `json:"op"`
	Fields []FieldChange `json:"fields"`
}

// Diff returns what leads from a to b, in key order.
func Diff(a, b *Snapshot) []Change {
	var out []Change
	i, j := 0, 0
	for i < len(a.objects) || j < len(b.objects) {
		switch {
		case j == len(b.objects) || i < len(a.objects) && a.objects[i].Key.Less(b.objects[j].Key):
			out = append(out, DiffObject(a.objects[i], Object{}))
			i++
		case i == len(a.objects) || b.objects[j].Key.Less(a.objects[i].Key):
			out = append(out, DiffObject(Object{}, b.objects[j]))
			j++
		default:
			if !bytes.Equal(a.objects[i].Raw, b.objects[j].Raw) {
				out = append(out, DiffObject(a.objects[i], b.objects[j]))
			}
			i, j = i+1, j+1
		}
	}
	return out
}

// DiffObject compares two forms of one object; the zero Object stands for an
// object that is not there.
func DiffObject(before, after Object) Change {
	c := Change{Key: after.Key, Op: OpChanged}
	switch {
	case before.Raw == nil:
		c.Op = OpAdded
	case after.Raw == nil:
		c.Key, c.Op = before.Key, OpRemoved
	}
	was, is := flatten(before.Raw), flatten(after.Raw)
	names := maps.Clone(was)
	maps.Copy(names, is)
	for _, f := range slices.Sorted(maps.Keys(names)) {
		if was[f] != is[f] {
			c.Fields = append(c.Fields, FieldChange{Field: f, Before: was[f], After: is[f]})
		}
	}
	return c
}

// flatten returns the fields of a JSON object by name, those of inner objects
// as "outer.inner". It works on the raw form, so that fields which a newer
// writer added show as well.
func flatten(raw []byte) map[string]string {
	out := make(map[string]string)
	var fields map[string]json.RawMessage
	if json.Unmarshal(raw, &fields) != nil {
		return out
	}
	for name, v := range fields {
		var inner map[string]json.RawMessage
		if json.Unmarshal(v, &inner) != nil {
			out[name] = string(v)
			continue
		}
		for n, w := range inner {
			out[name+"."+n] = string(w)
		}
	}
	return out
}

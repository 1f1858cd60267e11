package config

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"iter"
	"math/bits"
	"slices"
	"sort"
)

// KindKeys is the kind of objects that hold a group of the API keys of a workspace with more than
// MaxKeys. A change of one key is then a change of a small object, and not of all keys of the workspace.
const KindKeys Kind = "keys"

// KeyGroup is a group of the keys of a workspace.
type KeyGroup struct {
	Workspace string      `json:"workspace"`
	Keys      []KeyDigest `json:"keys"`
}

// meanKeysPerGroup is the mean size up to which a workspace's keys are split into more groups.
const meanKeysPerGroup = 48

// EncodeKeys returns the canonical objects of a workspace and its keys. Up to MaxKeys keys are part of
// the workspace's object, in the order given, and more are in groups by their leading bits.
func EncodeKeys(w Workspace, keys []KeyDigest) []Object {
	if len(keys) <= MaxKeys {
		w.Keys = keys
		return []Object{EncodeWorkspace(w)}
	}
	keys = slices.Clone(keys)
	slices.SortFunc(keys, func(a, b KeyDigest) int { return bytes.Compare(a[:], b[:]) })
	keys = slices.Compact(keys)
	w.Keys = nil
	objects := []Object{EncodeWorkspace(w)}
	groupBits := bits.Len(uint(len(keys) / meanKeysPerGroup))
	for len(keys) > 0 {
		group := leadingBits(keys[0], groupBits)
		n := sort.Search(len(keys), func(i int) bool { return leadingBits(keys[i], groupBits) > group })
		name := fmt.Sprintf("%s/%d-%06x", w.Name, groupBits, group)
		objects = append(objects, encodeTyped(Key{KindKeys, name}, &KeyGroup{Workspace: w.Name, Keys: keys[:n:n]}))
		keys = keys[n:]
	}
	return objects
}

// leadingBits returns the first n bits of a digest, at most 32.
func leadingBits(d KeyDigest, n int) uint32 {
	return uint32(uint64(binary.BigEndian.Uint32(d[:4])) >> (32 - n))
}

// keysOf returns the keys of a workspace.
func (s *Snapshot) keysOf(w *Workspace) iter.Seq[KeyDigest] {
	return func(yield func(KeyDigest) bool) {
		for _, k := range w.Keys {
			if !yield(k) {
				return
			}
		}
		for _, g := range s.keyGroups[w.Name] {
			for _, k := range g.Keys {
				if !yield(k) {
					return
				}
			}
		}
	}
}

// keyCount returns the number of the keys of a workspace.
func (s *Snapshot) keyCount(w *Workspace) int {
	n := len(w.Keys)
	for _, g := range s.keyGroups[w.Name] {
		n += len(g.Keys)
	}
	return n
}

package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// KindWorkspace is the kind of objects that state a workspace.
const KindWorkspace Kind = "workspace"

// MaxKeys bounds the API keys in the object of one workspace.
const MaxKeys = 64

// Workspace is a group of callers that share API keys, a priority and a quota.
type Workspace struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// Keys are the digests of the workspace's API keys. The keys themselves are kept out of
	// snapshots, which nodes send to each other and operators read. A workspace with more than
	// MaxKeys has them in objects of KindKeys.
	Keys []KeyDigest `json:"keys,omitempty"`
	// Priority goes before that of the calls' classes under overload, MinPriority to
	// MaxPriority; zero leaves it to the classes.
	Priority int `json:"priority,omitempty"`
	// RatePerSecond bounds the workspace's calls over the whole mesh; zero means no bound.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Burst is how many calls may come at once beyond the rate.
	Burst float64 `json:"burst,omitempty"`
}

// KeyDigest is the SHA-256 of an API key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(b []byte) error {
	raw, err := hex.DecodeString(string(b))
	if err != nil || len(raw) != len(d) {
		return ErrBadHash
	}
	copy(d[:], raw)
	return nil
}

// EncodeWorkspace returns the canonical object of v.
func EncodeWorkspace(v Workspace) Object { return encodeTyped(Key{KindWorkspace, v.Name}, &v) }

// Workspace returns the workspace of that name, or nil.
func (s *Snapshot) Workspace(name string) *Workspace { return s.workspaces[name] }

// Workspaces returns the workspaces ordered by name.
func (s *Snapshot) Workspaces() []*Workspace { return inOrder(s.objects, KindWorkspace, s.workspaces) }

func (w *Workspace) check(name string) []Problem {
	c := &checker{key: Key{KindWorkspace, name}}
	c.name("name", w.Name)
	c.want(w.Name == name, "name", "must be the name of the object")
	c.name("team", w.Team)
	c.want(len(w.Keys) <= MaxKeys, "keys", "must be at most %d", MaxKeys)
	ok := w.Priority == 0 || w.Priority >= MinPriority && w.Priority <= MaxPriority
	c.want(ok, "priority", "must be between %d and %d, or 0 for that of the classes", MinPriority, MaxPriority)
	c.want(w.RatePerSecond >= 0 && w.RatePerSecond <= MaxRatePerSecond, "rate_per_second",
		"must be over 0 and at most %g, or 0 for no bound", float64(MaxRatePerSecond))
	c.want(w.Burst >= 0 && w.Burst <= MaxRatePerSecond, "burst", "must be at most %g", float64(MaxRatePerSecond))
	return c.ps
}

// checkKeys refuses a key that two workspaces hold: its calls would count for either.
func (s *Snapshot) checkKeys() []Problem {
	var ps []Problem
	holders := make(map[KeyDigest]string)
	for _, w := range s.Workspaces() {
		for k := range s.keysOf(w) {
			if first, ok := holders[k]; ok {
				ps = append(ps, Problem{
					Key: Key{KindWorkspace, w.Name}, Field: "keys",
					Reason: fmt.Sprintf("holds a key that the workspace %q holds as well", first),
				})
				continue
			}
			holders[k] = w.Name
		}
	}
	return ps
}

// Keyring finds workspaces by their names and by the API keys that they hold. It is immutable.
type Keyring struct {
	holders map[KeyDigest]*Workspace
	named   map[string]*Workspace
	// unusable are the keys whose workspace can't be told or named to backend servers.
	unusable map[KeyDigest]struct{}
}

// newKeyring returns the keyring of s, or nil if its calls need no key, and adds to o the keys and
// workspaces that it leaves out.
func newKeyring(s *Snapshot, o *omissions) *Keyring {
	if len(s.workspaces) == 0 && !s.callers.KeysRequired {
		return nil
	}
	n := 0
	for _, w := range s.workspaces {
		n += s.keyCount(w)
	}
	r := &Keyring{make(map[KeyDigest]*Workspace, n), s.workspaces, make(map[KeyDigest]struct{})}
	shared := make(map[string]int) // keys of a workspace that an earlier one holds as well
	for _, w := range s.Workspaces() {
		nameless := !headerValue(w.Name)
		if nameless {
			o.problems = append(o.problems, Problem{
				Key: Key{KindWorkspace, w.Name}, Field: "name", Reason: "cannot stand in a header, so its keys serve no calls",
			})
		}
		for k := range s.keysOf(w) {
			first, taken := r.holders[k]
			switch {
			case taken && first == w:
				continue
			case taken:
				shared[w.Name]++
				fallthrough
			case nameless:
				r.unusable[k] = struct{}{}
			}
			r.holders[k] = w
		}
	}
	for k := range r.unusable {
		delete(r.holders, k)
	}
	for name, keys := range shared {
		o.problems = append(o.problems, Problem{
			Key: Key{KindWorkspace, name}, Field: "keys",
			Reason: fmt.Sprintf("holds keys that another workspace holds as well, which serve no calls: %d", keys),
		})
	}
	return r
}

// Named returns the workspace of a name, or nil.
func (r *Keyring) Named(name string) *Workspace { return r.named[name] }

// Holder returns the workspace that holds a key, or nil.
func (r *Keyring) Holder(key string) *Workspace {
	if key == "" {
		return nil
	}
	return r.holders[DigestOf(key)]
}

// Unusable reports whether some workspace holds a key without a Holder, because several workspaces
// hold it or its workspace can't be named to backend servers.
func (r *Keyring) Unusable(key string) bool {
	if len(r.unusable) == 0 {
		return false
	}
	_, ok := r.unusable[DigestOf(key)]
	return ok
}

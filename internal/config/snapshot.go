package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"sync"
	"unicode/utf8"

	json2 "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	json1 "github.com/go-json-experiment/json/v1"
)

// HashSize is the size of a Hash in bytes.
const HashSize = sha256.Size

// Hash identifies the content and history of a version.
type Hash [HashSize]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Short returns the first eight hexadecimal digits, for people to read.
func (h Hash) Short() string { return hex.EncodeToString(h[:4]) }

// ParseHash reads a hash in hexadecimal.
func ParseHash(s string) (Hash, error) {
	var h Hash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != HashSize {
		return h, ErrBadHash
	}
	copy(h[:], b)
	return h, nil
}

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(b []byte) error {
	parsed, err := ParseHash(string(b))
	if err != nil {
		return err
	}
	*h = parsed
	return nil
}

// Version names one snapshot of one history. Number counts up from zero, the
// empty snapshot; Hash tells histories apart.
type Version struct {
	Number uint64 `json:"number"`
	Hash   Hash   `json:"hash"`
}

// String returns the version as "number@hash", with the hash cut short.
func (v Version) String() string { return fmt.Sprintf("%d@%s", v.Number, v.Hash.Short()) }

// Newer reports whether v has a higher number than o. Versions of the same
// number and another hash belong to another history; neither is newer.
func (v Version) Newer(o Version) bool { return v.Number > o.Number }

// Snapshot is one immutable version of the whole configuration. Build one with
// Empty, New or Delta.Apply; never change one after that.
type Snapshot struct {
	version  Version
	parent   Hash
	objects  []Object // sorted by key
	services map[string]*Service
	targets  map[string]*Target
	// workspaces is empty where callers need no key.
	workspaces map[string]*Workspace
	// keyGroups holds the groups of keys of each workspace, in the order of their objects, and
	// groupOf the group of each object.
	keyGroups map[string][]*KeyGroup
	groupOf   map[string]*KeyGroup
	callers   Callers
	// undecoded is why some object could not be decoded, or nil.
	undecoded error
	// unsound holds what is wrong with single objects, whatever the others say.
	unsound map[Key][]Problem
	// problems returns all that Check finds. It is looked for once, since a version is checked
	// before it is compiled and again by whoever compiles it.
	problems func() []Problem
	// omissions returns what Omitted, Shadowed and Keyring tell of.
	omissions func() *omissions
}

// Empty returns version zero, which every history starts from.
func Empty() *Snapshot {
	s, err := New(0, Hash{}, nil)
	if err != nil {
		panic("config: the empty snapshot is not valid: " + err.Error())
	}
	return s
}

// New builds the snapshot with the given number, parent and objects. It
// returns an error when an object stands twice or is not UTF-8. An object that cannot be
// decoded is kept, hashed and passed on; DecodeError then says why the
// snapshot cannot be put in force here. Check finds the rest.
func New(number uint64, parent Hash, objects []Object) (*Snapshot, error) {
	return build(number, parent, objects, nil)
}

// Succeed builds a snapshot of a version that was accepted elsewhere. Its hash
// depends on the number and the objects alone, so that every node comes to the
// same version by itself. Before, which may be nil, is an earlier snapshot, whose
// decoded objects are shared.
func Succeed(before *Snapshot, number uint64, objects []Object) (*Snapshot, error) {
	return build(number, Hash{}, objects, before)
}

// build is New, with the decoded form of objects that from holds as well taken
// from there. Versions of one history share most objects, and a node holds
// several versions at once.
func build(number uint64, parent Hash, objects []Object, from *Snapshot) (*Snapshot, error) {
	s := &Snapshot{
		parent:     parent,
		objects:    slices.Clone(objects),
		services:   make(map[string]*Service),
		targets:    make(map[string]*Target),
		workspaces: make(map[string]*Workspace),
		keyGroups:  make(map[string][]*KeyGroup),
		groupOf:    make(map[string]*KeyGroup),
		unsound:    make(map[Key][]Problem),
	}
	s.problems = sync.OnceValue(s.findProblems)
	s.omissions = sync.OnceValue(s.findOmissions)
	sort.Slice(s.objects, func(i, j int) bool { return s.objects[i].Key.Less(s.objects[j].Key) })
	for i, o := range s.objects {
		if i > 0 && s.objects[i-1].Key == o.Key {
			return nil, &ObjectError{Key: o.Key, Reason: "stands twice"}
		}
		if !utf8.Valid(o.Raw) || !utf8.ValidString(o.Key.Name) || !utf8.ValidString(string(o.Key.Kind)) {
			return nil, &ObjectError{Key: o.Key, Reason: "is not UTF-8"}
		}
		if s.reuse(o, from) {
			continue
		}
		if err := s.decode(o); err != nil && s.undecoded == nil {
			s.undecoded = err
		}
	}
	s.version = Version{Number: number, Hash: hashOf(number, parent, s.objects)}
	return s, nil
}

// reuse adds the typed form of o that from holds, if it holds the same bytes.
func (s *Snapshot) reuse(o Object, from *Snapshot) bool {
	if from == nil {
		return false
	}
	if was, ok := from.Object(o.Key); !ok || !bytes.Equal(was.Raw, o.Raw) {
		return false
	}
	v, t, w := from.services[o.Key.Name], from.targets[o.Key.Name], from.workspaces[o.Key.Name]
	switch {
	case o.Key.Kind == KindService && v != nil:
		s.services[o.Key.Name] = v
	case o.Key.Kind == KindTarget && t != nil:
		s.targets[o.Key.Name] = t
	case o.Key.Kind == KindWorkspace && w != nil:
		s.workspaces[o.Key.Name] = w
	case o.Key.Kind == KindKeys && from.groupOf[o.Key.Name] != nil:
		s.addGroup(o.Key.Name, from.groupOf[o.Key.Name])
	default:
		return false
	}
	s.noteUnsound(o.Key, from.unsound[o.Key])
	return true
}

// noteUnsound keeps what is wrong with one object. It is looked for once for each form of
// an object, not in every version that holds it: of thousands of targets a version changes
// a few, and a node that looked through all of them answered no call for a tenth of a
// second on a sixth of a core.
func (s *Snapshot) noteUnsound(k Key, ps []Problem) {
	if len(ps) > 0 {
		s.unsound[k] = ps
	}
}

// decode adds the typed form of o, and what is wrong with it. Unknown fields are refused:
// they come from a newer writer, and running a target without them would not be what its
// operator stated.
func (s *Snapshot) decode(o Object) error {
	switch o.Key.Kind {
	case KindService:
		v, err := typedOf[Service](o)
		if err != nil {
			return err
		}
		s.services[o.Key.Name] = v
		s.noteUnsound(o.Key, v.check(o.Key.Name))
	case KindTarget:
		v, err := typedOf[Target](o)
		if err != nil {
			return err
		}
		s.targets[o.Key.Name] = v
		s.noteUnsound(o.Key, v.check(o.Key.Name))
	case KindWorkspace:
		v, err := typedOf[Workspace](o)
		if err != nil {
			return err
		}
		s.workspaces[o.Key.Name] = v
		s.noteUnsound(o.Key, v.check(o.Key.Name))
	case KindKeys:
		v, err := typedOf[KeyGroup](o)
		if err != nil {
			return err
		}
		s.addGroup(o.Key.Name, v)
	case KindCallers:
		return s.decodeCallers(o)
	default:
		return &ObjectError{Key: o.Key, Reason: "has an unknown kind"}
	}
	return nil
}

func (s *Snapshot) addGroup(object string, g *KeyGroup) {
	s.groupOf[object] = g
	s.keyGroups[g.Workspace] = append(s.keyGroups[g.Workspace], g)
}

// typedOf returns the typed form of o: what it was encoded from, where that happened in
// this process, or else what its bytes say.
func typedOf[T any](o Object) (*T, error) {
	if v, ok := o.typed.(*T); ok {
		return v, nil
	}
	v := new(T)
	if err := decodeStrict(o, v); err != nil {
		return nil, err
	}
	return v, nil
}

// strictly is how objects are read: unknown fields are refused. In the rest it follows
// encoding/json, which wrote them and gave earlier releases' verdicts.
var strictly = json2.JoinOptions(
	json2.RejectUnknownMembers(true), json2.MatchCaseInsensitiveNames(true),
	json1.MatchCaseSensitiveDelimiter(true), json1.MergeWithLegacySemantics(true),
	jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true),
)

// decodeStrict reads an object by a faster decoder than encoding/json's: a node that starts
// reads thousands, which was most of the work until it was ready.
func decodeStrict(o Object, into any) error {
	if err := json2.Unmarshal(o.Raw, into, strictly); err != nil {
		return &ObjectError{Key: o.Key, Reason: "cannot be decoded: " + err.Error()}
	}
	return nil
}

// hashOf returns the chain hash: number, parent and each object's key and raw
// bytes, all length-prefixed so that no two inputs run together.
func hashOf(number uint64, parent Hash, objects []Object) Hash {
	d := sha256.New()
	var n [8]byte
	put := func(b []byte) {
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		d.Write(n[:])
		d.Write(b)
	}
	binary.BigEndian.PutUint64(n[:], number)
	d.Write(n[:])
	d.Write(parent[:])
	for _, o := range objects {
		put([]byte(o.Key.Kind))
		put([]byte(o.Key.Name))
		put(o.Raw)
	}
	var h Hash
	d.Sum(h[:0])
	return h
}

// DecodeError returns why an object of s could not be decoded, or nil. A
// snapshot with a decode error must not be put in force.
func (s *Snapshot) DecodeError() error { return s.undecoded }

// Version returns the snapshot's number and hash.
func (s *Snapshot) Version() Version { return s.version }

// Parent returns the hash of the version before this one.
func (s *Snapshot) Parent() Hash { return s.parent }

// Objects returns all objects in key order. Callers must not change them.
func (s *Snapshot) Objects() []Object { return s.objects }

// Object returns the object with the given key.
func (s *Snapshot) Object(k Key) (Object, bool) {
	i := sort.Search(len(s.objects), func(i int) bool { return !s.objects[i].Key.Less(k) })
	if i < len(s.objects) && s.objects[i].Key == k {
		return s.objects[i], true
	}
	return Object{}, false
}

// Service returns the service of that name, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Target returns the target of that name, or nil.
func (s *Snapshot) Target(name string) *Target { return s.targets[name] }

// Services returns the services ordered by name.
func (s *Snapshot) Services() []*Service { return inOrder(s.objects, KindService, s.services) }

// Targets returns the targets ordered by name.
func (s *Snapshot) Targets() []*Target { return inOrder(s.objects, KindTarget, s.targets) }

// inOrder returns the values of m in the order of the objects of their kind.
func inOrder[T any](objects []Object, kind Kind, m map[string]*T) []*T {
	out := make([]*T, 0, len(m))
	for _, o := range objects {
		if v := m[o.Key.Name]; o.Key.Kind == kind && v != nil {
			out = append(out, v)
		}
	}
	return out
}

// EncodeService returns the canonical object of v.
func EncodeService(v Service) Object { return encodeTyped(Key{KindService, v.Name}, &v) }

// EncodeTarget returns the canonical object of v.
func EncodeTarget(v Target) Object { return encodeTyped(Key{KindTarget, v.Name}, &v) }

// encodeTyped is encode for an object that keeps what it was encoded from. A string that
// is not UTF-8 reads back as another one, so such an object has to be decoded.
func encodeTyped(k Key, v any) Object {
	o := encode(k, v)
	if !bytes.Contains(o.Raw, replaced) {
		o.typed = v
	}
	return o
}

// replaced is what encoding/json writes for bytes that are not UTF-8.
var replaced = []byte(`\ufffd`)

func encode(k Key, v any) Object {
	raw, err := json.Marshal(v)
	if err != nil {
		// Only finite numbers reach here: Check refuses the others first.
		panic("config: cannot encode " + k.String() + ": " + err.Error())
	}
	return Object{Key: k, Raw: raw}
}

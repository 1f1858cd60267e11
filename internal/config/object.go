package config

import (
	"encoding/json"
	"strings"
	"time"
)

// Kind tells the sorts of configuration object apart.
type Kind string

// The kinds of object that a snapshot holds.
const (
	KindService Kind = "service"
	KindTarget  Kind = "target"
)

// Key names one object. It is unique within a snapshot.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Less orders keys by kind, then by name.
func (k Key) Less(o Key) bool {
	if k.Kind != o.Kind {
		return k.Kind < o.Kind
	}
	return k.Name < o.Name
}

// Object is one configuration object as it is stored, hashed and sent: its key
// and its canonical JSON encoding. Raw must not be changed once set.
type Object struct {
	Key Key
	Raw []byte
	// typed is the *Service, *Target, *Workspace or *KeyGroup that Raw was encoded from, or nil. It must not be
	// changed either: snapshots share it.
	typed any
}

// objectJSON is the form of an Object in JSON. Raw is a string, not an inner
// value or base64: an inner value would be rewritten by encoders, which changes
// the hash, and base64 compresses worse and can't be read in the platform's
// rows.
type objectJSON struct {
	Key Key    `json:"key"`
	Raw string `json:"raw"`
}

// MarshalJSON implements json.Marshaler.
func (o Object) MarshalJSON() ([]byte, error) {
	return json.Marshal(objectJSON{Key: o.Key, Raw: string(o.Raw)})
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *Object) UnmarshalJSON(b []byte) error {
	var v objectJSON
	if err := json.Unmarshal(b, &v); err != nil {
		return err
	}
	*o = Object{Key: v.Key, Raw: []byte(v.Raw)}
	return nil
}

// Service is a destination that backend servers announce themselves for.
type Service struct {
	Name        string `json:"name"`
	Team        string `json:"team"`
	Description string `json:"description,omitempty"`
	// HealthPath is where the service's backend servers say whether they are
	// well; empty where they don't.
	HealthPath string `json:"health_path,omitempty"`
}

// Audience says which callers may use a class of work.
type Audience string

const (
	// AudiencePublic classes are open to callers outside the mesh.
	AudiencePublic Audience = "public"
	// AudienceInternal classes are open only to backend servers, through
	// the internal listener of their own node.
	AudienceInternal Audience = "internal"
)

// OnStoreDown says what happens to a keyed non-idempotent request when the
// platform cannot record its claim.
type OnStoreDown string

const (
	// OnStoreDownRefuse answers at once that the request was not run.
	OnStoreDownRefuse OnStoreDown = "refuse"
	// OnStoreDownWait keeps trying within the caller's deadline, then
	// answers that the request was not run.
	OnStoreDownWait OnStoreDown = "wait"
	// OnStoreDownLocalGuard runs the request under a claim remembered by one
	// node only.
	OnStoreDownLocalGuard OnStoreDown = "local-guard"
)

// Match selects the calls of a class of work. An empty Host matches every
// host, and hosts are compared without regard to case; an empty Methods matches
// every method. MatchesPath says which paths PathPrefix matches.
//
// Of the classes that match a call, the one with the longest PathPrefix is
// taken, then one with a Host over one without, then one with Methods over one
// without. Check refuses two classes that this rule can't tell apart.
//
// A backend server may decode a path and resolve its "." and ".." segments. If
// the result belongs to a class of AudienceInternal, so does the call, whatever
// its path matches as sent.
type Match struct {
	Host       string   `json:"host,omitempty"`
	PathPrefix string   `json:"path_prefix"`
	Methods    []string `json:"methods,omitempty"`
}

// MatchesPath reports whether a path begins with PathPrefix. The path is compared
// byte for byte as it stands in the request line, without decoding or cleaning.
//
// A prefix that ends with a slash matches every path that begins with it, and
// "/berths/" does not match "/berths". A prefix without one matches whole
// segments: "/berths" matches "/berths" and "/berths/7" but not "/berths2".
func (m Match) MatchesPath(path string) bool {
	rest, ok := strings.CutPrefix(path, m.PathPrefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(m.PathPrefix, "/"))
}

// Target is what an operator states for one class of work. The target's name
// is the name of the class. It holds aims and bounds, never weights or
// addresses.
type Target struct {
	Name    string `json:"name"`
	Team    string `json:"team"`
	Service string `json:"service"`
	Match   Match  `json:"match"`
	// Idempotent says that running a call twice does no harm.
	Idempotent bool `json:"idempotent,omitempty"`
	// AnswerWithinMS is the answer time aimed at, in milliseconds.
	AnswerWithinMS int64 `json:"answer_within_ms,omitempty"`
	// Percentile is the share of answers, in percent, that must come within
	// AnswerWithinMS; zero means 99.
	Percentile float64 `json:"percentile,omitempty"`
	// DeadlineMS bounds a call of this class whose caller sent no deadline;
	// zero means DefaultDeadline.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Share is the largest part of the service's slots that the class may
	// hold while other classes wait, in (0,1]; zero means no bound.
	Share float64 `json:"share,omitempty"`
	// RatePerSecond bounds the calls of this class over the whole mesh; zero
	// means no bound.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Priority orders classes under overload, 1 (first to give way) to 9;
	// zero means DefaultPriority.
	Priority int `json:"priority,omitempty"`
	// Audience is AudiencePublic when empty.
	Audience Audience `json:"audience,omitempty"`
	// OnStoreDown is OnStoreDownRefuse when empty.
	OnStoreDown OnStoreDown `json:"on_store_down,omitempty"`
	// Split shares the calls out over several services. Empty sends all of
	// them to Service; otherwise Service is that of the first part.
	Split []Part `json:"split,omitempty"`
	// Attempts is the largest number of backend servers that one call is sent
	// to; zero leaves it to the retry policy.
	Attempts int `json:"attempts,omitempty"`
	// TimeoutMS bounds a call of this class whatever its caller allows; zero
	// means no bound.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// Keyless opens the class to calls without an API key, where the configuration has
	// workspaces.
	Keyless bool `json:"keyless,omitempty"`
}

// Part is one part of a split.
type Part struct {
	Service string `json:"service"`
	// Weight is the part's share of the calls relative to the other weights.
	// A part of weight zero gets none.
	Weight int `json:"weight"`
}

// Defaults for fields that a target leaves out.
const (
	DefaultPercentile = 99.0
	DefaultDeadline   = 30 * time.Second
	DefaultPriority   = 5
	MinPriority       = 1
	MaxPriority       = 9
)

// AnswerWithin returns the answer time aimed at, or zero for none.
func (t *Target) AnswerWithin() time.Duration {
	return time.Duration(t.AnswerWithinMS) * time.Millisecond
}

// Deadline returns the bound on a call whose caller sent none.
func (t *Target) Deadline() time.Duration {
	if t.DeadlineMS == 0 {
		return DefaultDeadline
	}
	return time.Duration(t.DeadlineMS) * time.Millisecond
}

// Timeout returns the bound on a call whatever its caller allows, or zero for
// none.
func (t *Target) Timeout() time.Duration { return time.Duration(t.TimeoutMS) * time.Millisecond }

// PercentileOrDefault returns the percentile aimed at.
func (t *Target) PercentileOrDefault() float64 {
	if t.Percentile == 0 {
		return DefaultPercentile
	}
	return t.Percentile
}

// PriorityOrDefault returns the class's priority.
func (t *Target) PriorityOrDefault() int {
	if t.Priority == 0 {
		return DefaultPriority
	}
	return t.Priority
}

// Internal reports whether only backend servers may call the class.
func (t *Target) Internal() bool { return t.Audience == AudienceInternal }

// StoreDownRule returns what to do when a claim cannot be recorded.
func (t *Target) StoreDownRule() OnStoreDown {
	if t.OnStoreDown == "" {
		return OnStoreDownRefuse
	}
	return t.OnStoreDown
}

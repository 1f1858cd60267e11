package config

import "time"

// KindCallers is the kind of the one object that bounds callers.
const KindCallers Kind = "callers"

// callersName is the name of that object.
const callersName = "callers"

// Bounds on what operators may allow callers.
const (
	// MinHeaderBytes is what the headers of an ordinary browser take.
	MinHeaderBytes = 4 << 10
	// MaxHeaderBytes keeps a few hundred connections within a node's memory.
	MaxHeaderBytes = 1 << 20
)

// Callers bounds what callers may send, and how long they may take. A field of
// zero leaves the bound to the node.
type Callers struct {
	// HeaderBytes bounds a request's line and headers, in bytes.
	HeaderBytes int64 `json:"header_bytes,omitempty"`
	// BodyBytes bounds a request's body, in bytes.
	BodyBytes int64 `json:"body_bytes,omitempty"`
	// HeaderTimeoutMS bounds the time from a request's first byte to the end
	// of its headers, in milliseconds.
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	// IdleTimeoutMS is how long a connection may lie idle, in milliseconds.
	IdleTimeoutMS int64 `json:"idle_timeout_ms,omitempty"`
	// KeysRequired says that calls need an API key although there is no workspace: every workspace
	// was removed, and with them their keys.
	KeysRequired bool `json:"keys_required,omitempty"`
}

// HeaderTimeout returns the time that a header may take, or zero for none.
func (c Callers) HeaderTimeout() time.Duration {
	return time.Duration(c.HeaderTimeoutMS) * time.Millisecond
}

// IdleTimeout returns how long a connection may lie idle, or zero for none.
func (c Callers) IdleTimeout() time.Duration {
	return time.Duration(c.IdleTimeoutMS) * time.Millisecond
}

// EncodeCallers returns the canonical object of v.
func EncodeCallers(v Callers) Object { return encode(Key{KindCallers, callersName}, v) }

// Callers returns the bounds on callers; those that no operator stated are zero.
func (s *Snapshot) Callers() Callers { return s.callers }

// decodeCallers takes the one object of its kind.
func (s *Snapshot) decodeCallers(o Object) error {
	if o.Key.Name != callersName {
		return &ObjectError{Key: o.Key, Reason: "must be named " + callersName}
	}
	return decodeStrict(o, &s.callers)
}

func (v Callers) check() []Problem {
	c := &checker{key: Key{KindCallers, callersName}}
	longest := MaxDeadline.Milliseconds()
	c.want(v.HeaderBytes == 0 || v.HeaderBytes >= MinHeaderBytes && v.HeaderBytes <= MaxHeaderBytes,
		"header_bytes", "must be between %d and %d, or 0 for the default", MinHeaderBytes, MaxHeaderBytes)
	c.want(v.BodyBytes >= 0, "body_bytes", "must be 1 or more, or 0 for no bound")
	c.want(v.HeaderTimeoutMS >= 0 && v.HeaderTimeoutMS <= longest, "header_timeout_ms",
		"must be between 1 and %d, or 0 for the default", longest)
	c.want(v.IdleTimeoutMS >= 0 && v.IdleTimeoutMS <= longest, "idle_timeout_ms",
		"must be between 1 and %d, or 0 for the default", longest)
	return c.ps
}

package command

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/marlpass/marlpass/internal/config"
)

// Bounds on one command.
const (
	MaxObjects = 128
	// MaxBytes bounds the JSON of a command, the form in which a node passes it
	// to a peer. It leaves room under the 256 KB that a peer takes, so that no
	// command is taken that can't be passed on.
	MaxBytes      = 240 << 10
	MaxNoteLength = 512
	// MaxNameLength bounds the names of operators and teams, as settings do. A
	// peer that passes a command on could make them as long as a message.
	MaxNameLength = 63
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Command is a change that an operator asks for. It takes effect whole or not
// at all, and at most once under its ID, whichever nodes it is sent to.
type Command struct {
	// ID is chosen by the operator's client and names the command for good.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Team     string `json:"team"`
	// Base is the version that the operator read, or nil. With it, the command
	// is refused when an object that it touches has changed since.
	Base  *uint64         `json:"base,omitempty"`
	Set   []config.Object `json:"set,omitempty"`
	Unset []config.Key    `json:"unset,omitempty"`
	Note  string          `json:"note,omitempty"`
	// Repeat says that the command was sent before and its outcome is not
	// known. If the platform can't be reached then, the outcome stays unknown;
	// a command sent for the first time is refused instead.
	Repeat bool `json:"repeat,omitempty"`
}

// Outcome is what is known of a command.
type Outcome string

// The outcomes of a command.
const (
	// Accepted: the command is part of Result.Version.
	Accepted Outcome = "accepted"
	// Refused: the command did not take effect.
	Refused Outcome = "refused"
	// Unknown: it may or may not have taken effect. Sending it again under the
	// same ID, to any node, settles it.
	Unknown Outcome = "unknown"
)

// Reason says why a command was refused, or why its outcome is not known.
type Reason string

// Reasons that depend on the command alone, or are recorded under its ID: a
// repeat gets the same answer.
const (
	ReasonMalformed Reason = "malformed"   // the command itself is not valid
	ReasonIDReused  Reason = "id-reused"   // the ID stands for another command
	ReasonForbidden Reason = "forbidden"   // it touches what another team owns
	ReasonInvalid   Reason = "invalid"     // the result would not be consistent
	ReasonTeamFull  Reason = "team-full"   // the team would hold too many objects
	ReasonConflict  Reason = "conflict"    // what it touches has changed since Base
	ReasonNotFound  Reason = "not-found"   // an object to withdraw is not there
	ReasonElsewhere Reason = "elsewhere"   // the configuration is changed elsewhere, not through this mesh
	ReasonLost      Reason = "answer-lost" // with Unknown: the platform's or a peer's answer was lost
)

// Reasons that may pass. Nothing is recorded, and the same command may be sent
// again under its ID.
const (
	ReasonBusy         Reason = "busy"          // other commands kept coming first
	ReasonUnavailable  Reason = "unavailable"   // the platform can't be reached, or this node is starting
	ReasonOlderHead    Reason = "older-head"    // the platform shows an older version than is known
	ReasonOtherHistory Reason = "other-history" // the platform holds another history
	ReasonNewerObjects Reason = "newer-objects" // this node is too old to judge the configuration
)

// Retryable reports whether the command may be sent again under its ID with
// the prospect of another answer.
func (r Reason) Retryable() bool {
	switch r {
	case ReasonBusy, ReasonUnavailable, ReasonOlderHead, ReasonOtherHistory, ReasonNewerObjects, ReasonLost:
		return true
	}
	return false
}

// Conflict is an object that the command touches and that has changed since
// its Base. Before values are left out where that version is no longer held.
type Conflict struct {
	config.Change
	Version uint64 `json:"version"` // the last version that changed it
	By      string `json:"by,omitempty"`
	AtMS    int64  `json:"at_ms,omitempty"`
}

// Result is the answer to a command.
type Result struct {
	Command string  `json:"command"`
	Outcome Outcome `json:"outcome"`
	// Version is the version that holds the command, if it was accepted.
	Version config.Version `json:"version,omitzero"`
	// Unchanged says that the command was accepted and nothing had to change.
	Unchanged bool `json:"unchanged,omitempty"`
	// Created says that an object that the command sets was not there before.
	Created bool   `json:"created,omitempty"`
	Reason  Reason `json:"reason,omitempty"`
	Detail  string `json:"detail,omitempty"`
	// Changes tells what an accepted command changed, field by field.
	Changes   []config.Change  `json:"changes,omitempty"`
	Problems  []config.Problem `json:"problems,omitempty"`
	Conflicts []Conflict       `json:"conflicts,omitempty"`
	// Head is the version that the command was judged against.
	Head uint64 `json:"head,omitempty"`
	// AtMS is when it was judged, in Unix milliseconds of the judging node.
	AtMS int64 `json:"at_ms,omitempty"`
}

// keys returns the keys that the command sets or removes.
func (c *Command) keys() []config.Key {
	keys := make([]config.Key, 0, len(c.Set)+len(c.Unset))
	for _, o := range c.Set {
		keys = append(keys, o.Key)
	}
	return append(keys, c.Unset...)
}

// touched returns the keys as a set.
func (c *Command) touched() map[config.Key]bool {
	set := make(map[config.Key]bool)
	for _, k := range c.keys() {
		set[k] = true
	}
	return set
}

// malformed returns why the command can't be judged at all, or "".
func (c *Command) malformed() string {
	n := len(c.Set) + len(c.Unset)
	encoded, err := json.Marshal(c)
	switch {
	case err != nil:
		return "the command can't be encoded: " + err.Error()
	case !idPattern.MatchString(c.ID):
		return "the command id must be 1 to 64 of A-Z, a-z, 0-9, '.', '_', '-' and begin with a letter or digit"
	case c.Operator == "" || c.Team == "":
		return "the operator and the team must be named"
	case max(len(c.Operator), len(c.Team)) > MaxNameLength:
		return fmt.Sprintf("the names of the operator and the team must have at most %d bytes", MaxNameLength)
	case n == 0 || n > MaxObjects:
		return fmt.Sprintf("a command must set or withdraw 1 to %d objects", MaxObjects)
	case len(encoded) > MaxBytes:
		return fmt.Sprintf("a command must have at most %d bytes as JSON", MaxBytes)
	case len(c.Note) > MaxNoteLength:
		return fmt.Sprintf("the note must have at most %d bytes", MaxNoteLength)
	case len(c.touched()) != n:
		return "an object stands twice in the command"
	}
	return ""
}

// digest identifies the content of the command, so that an ID used for two
// commands is found out.
func (c Command) digest() (string, error) {
	c.Repeat = false
	b, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:]), nil
}

// Refuse returns the result of a command that is refused before it is judged.
func (c Command) Refuse(r Reason, detail string) Result { return c.result(Refused, r, detail) }

func (c *Command) result(o Outcome, r Reason, detail string) Result {
	return Result{Command: c.ID, Outcome: o, Reason: r, Detail: detail}
}

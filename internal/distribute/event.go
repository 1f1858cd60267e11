package distribute

import (
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// ErrCompacted means that the platform no longer has the deltas asked for. A
// Platform returns it from Since; the state machine then reads a snapshot.
var ErrCompacted = errors.New("distribute: the deltas were compacted away")

// ErrOrphaned ends a Runner whose node is to be started again; see State.Orphaned.
var ErrOrphaned = errors.New("distribute: neither the peers nor the platform have the history held here")

// ErrBadAnswer marks an answer that could not be decoded or verified.
var ErrBadAnswer = errors.New("distribute: the answer could not be verified")

// BusyError is a peer's refusal to serve a pull now.
type BusyError struct{ RetryAfter time.Duration }

func (e *BusyError) Error() string {
	return fmt.Sprintf("distribute: the peer is busy, retry after %v", e.RetryAfter)
}

// Event is one input of the state machine.
type Event interface{ event() }

// Tick lets time pass. It is due several times a second.
type Tick struct{}

// HeadRead is the outcome of ReadHead.
type HeadRead struct {
	Version config.Version
	Err     error
}

// PlatformRead is the outcome of ReadSince or ReadSnapshot.
type PlatformRead struct {
	Deltas   []*config.Delta
	Snapshot *config.Snapshot
	Err      error
}

// VersionReceived tells of the version that any message of a peer carried. Deltas is set
// when the message was a tell that carried them.
type VersionReceived struct {
	Peer    string
	Version config.Version
	// InForce is the number of the version in force at the peer.
	InForce uint64
	// Pushed is set when the message was sent to tell the version, rather than
	// for membership.
	Pushed bool
	Deltas []*config.Delta
	// Confirmed is how far the platform bears Version out as the newest.
	Confirmed Confirmation
}

// Answer is a peer's answer to Pull or Query.
type Answer struct {
	Version      config.Version
	Deltas       []*config.Delta
	Snapshot     *config.Snapshot
	YouHeld      uint64
	Ready        bool
	OtherHistory bool
	// KnowsHeld says that the asker's Held is in the peer's history.
	KnowsHeld bool
}

// Pulled is the outcome of Pull.
type Pulled struct {
	Peer   string
	Answer Answer
	Err    error
}

// Queried is the outcome of Query.
type Queried struct {
	Peer   string
	Answer Answer
	Err    error
}

// PushDone is the outcome of Push to one peer.
type PushDone struct {
	Peer    string
	Version config.Version
	Err     error
}

// Accepted tells of a change that this node committed itself.
type Accepted struct{ Delta *config.Delta }

// Offered is the outcome of Offer: err is why the version is not in force.
type Offered struct {
	Version config.Version
	Err     error
}

func (Tick) event()            {}
func (HeadRead) event()        {}
func (PlatformRead) event()    {}
func (VersionReceived) event() {}
func (Pulled) event()          {}
func (Queried) event()         {}
func (PushDone) event()        {}
func (Accepted) event()        {}
func (Offered) event()         {}

// Action is one output of the state machine.
type Action interface{ action() }

// ReadHead asks the platform for its head; answered by HeadRead.
type ReadHead struct{}

// ReadSince asks the platform for the deltas after Version; answered by
// PlatformRead.
type ReadSince struct{ Version config.Version }

// ReadSnapshot asks the platform for a whole snapshot; answered by
// PlatformRead.
type ReadSnapshot struct{ Version config.Version }

// Pull asks a peer for what follows Version, and whether it has Held in its
// history; answered by Pulled.
type Pull struct {
	Peer    string
	Version config.Version
	Held    config.Version
}

// Query asks a peer for its version and for what it saw this node hold; answered
// by Queried.
type Query struct {
	Peer    string
	Version config.Version
}

// Push sends Version to the peers, with Deltas if there are any; answered by
// one PushDone for each peer.
type Push struct {
	Peers   []string
	Version config.Version
	Deltas  []*config.Delta
}

// Offer hands a verified snapshot to the node's config.Store; answered by
// Offered.
type Offer struct{ Snapshot *config.Snapshot }

// FallbackRead hands on why a node that is no feeder reads the platform.
type FallbackRead struct{ Finding *ConfirmationOverdue }

// Report hands a finding to the log, the metrics and the handover.
type Report struct{ Finding Finding }

func (ReadHead) action()     {}
func (ReadSince) action()    {}
func (ReadSnapshot) action() {}
func (Pull) action()         {}
func (Query) action()        {}
func (Push) action()         {}
func (Offer) action()        {}
func (FallbackRead) action() {}
func (Report) action()       {}

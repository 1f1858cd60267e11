package distribute

import (
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// ErrCompacted means that the platform no longer has the requested deltas. A Platform returns it
// from Since; the state machine then reads a snapshot.
var ErrCompacted = errors.New("distribute: the deltas were compacted away")

// ErrOrphaned ends a Runner whose node has to be restarted; see State.Orphaned.
var ErrOrphaned = errors.New("distribute: neither the peers nor the platform have the history held here")

// ErrBadAnswer marks an answer that could not be decoded or verified.
var ErrBadAnswer = errors.New("distribute: the answer could not be verified")

// BusyError is a peer's temporary refusal to serve a pull.
type BusyError struct{ RetryAfter time.Duration }

func (e *BusyError) Error() string {
	return fmt.Sprintf("distribute: the peer is busy, retry after %v", e.RetryAfter)
}

// Event is one input of the state machine.
type Event interface{ event() }

// Tick advances the time. It is sent several times a second.
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

// VersionReceived carries the version of a peer's message. Deltas is set when the message was a
// push that included them.
type VersionReceived struct {
	Peer    string
	Version config.Version
	// InForce is the number of the version in force at the peer.
	InForce uint64
	// Pushed is set when the message was a push rather than a membership message.
	Pushed bool
	Deltas []*config.Delta
	// Confirmed is the sender's confirmation that Version is the newest.
	Confirmed Confirmation
}

// Answer is a peer's answer to Pull or Query. YouHeld is the highest version number that the peer
// saw in force at the requesting node.
type Answer struct {
	Version      config.Version
	Deltas       []*config.Delta
	Snapshot     *config.Snapshot
	YouHeld      uint64
	Ready        bool
	OtherHistory bool
	// KnowsHeld reports that the requester's Held is in the peer's history.
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

// Accepted is a change that this node committed itself.
type Accepted struct{ Delta *config.Delta }

// Offered is the outcome of Offer: Err is the reason why the version is not in force.
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

// ReadHead reads the platform's head; HeadRead is the outcome.
type ReadHead struct{}

// ReadSince reads the platform's deltas after Version; PlatformRead is the outcome.
type ReadSince struct{ Version config.Version }

// ReadSnapshot reads a whole snapshot from the platform; PlatformRead is the outcome.
type ReadSnapshot struct{ Version config.Version }

// Pull requests what follows Version from a peer, and whether Held is in the peer's history; Pulled
// is the outcome.
type Pull struct {
	Peer    string
	Version config.Version
	Held    config.Version
}

// Query requests a peer's version and the version it saw in force at this node; Queried is the
// outcome.
type Query struct {
	Peer    string
	Version config.Version
}

// Push sends Version to the peers, with Deltas if there are any; each peer results in one PushDone.
type Push struct {
	Peers   []string
	Version config.Version
	Deltas  []*config.Delta
}

// Offer passes a verified snapshot to the node's config.Store; Offered is the outcome.
type Offer struct{ Snapshot *config.Snapshot }

// FallbackRead reports why a node that is not a feeder reads the platform.
type FallbackRead struct{ Finding *ConfirmationOverdue }

// Report passes a finding to the log, the metrics and the handover.
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

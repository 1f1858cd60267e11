package distribute

import (
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// SourcePlatform names the platform as the source of a Finding. It cannot be a VM's ID.
const SourcePlatform = "(platform)"

// Finding is a condition to report to operators: a *Conflict, a *StaleHead, a *BadPeer, an
// *UnverifiedSnapshot or a *ConfirmationOverdue.
type Finding interface {
	error
	// Kind returns a short name for metrics.
	Kind() string
}

// Conflict reports a version of another history than the one held, for example after the platform
// was restored from a backup. The version is not applied.
type Conflict struct {
	Source string
	Held   config.Version
	Seen   config.Version
	At     time.Time
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("distribute: %s has version %d (%s) of another history than version %d (%s) held here",
		c.Source, c.Seen.Number, c.Seen.Hash.Short(), c.Held.Number, c.Held.Hash.Short())
}

// Kind implements Finding.
func (c *Conflict) Kind() string { return "conflict" }

// StaleHead reports that the platform returned a head older than the version held. It is ignored.
type StaleHead struct {
	Held config.Version
	Seen config.Version
}

func (s *StaleHead) Error() string {
	return fmt.Sprintf("distribute: the platform's head %d is older than version %d held here",
		s.Seen.Number, s.Held.Number)
}

// Kind implements Finding.
func (s *StaleHead) Kind() string { return "stale_head" }

// BadPeer reports a peer whose answer failed verification.
type BadPeer struct {
	Peer string
	Err  error
}

func (b *BadPeer) Error() string { return "distribute: peer " + b.Peer + ": " + b.Err.Error() }

// Unwrap returns why the answer was rejected.
func (b *BadPeer) Unwrap() error { return b.Err }

// Kind implements Finding.
func (b *BadPeer) Kind() string { return "bad_peer" }

// UnverifiedSnapshot reports a snapshot that was dropped because no other peer knew its version, or
// none showed that it descends from the version held. Its sender may be ahead of all other nodes,
// have another history, or have forged it.
type UnverifiedSnapshot struct {
	Peer    string
	Version config.Version
}

func (u *UnverifiedSnapshot) Error() string {
	return fmt.Sprintf("distribute: no other source confirms that version %d (%s) of %s descends from the one held",
		u.Version.Number, u.Version.Hash.Short(), u.Peer)
}

// Kind implements Finding.
func (u *UnverifiedSnapshot) Kind() string { return "unconfirmed" }

// ConfirmationOverdue reports that neither the feeders nor other nodes have confirmed the version
// held for so long that this node, which is not a feeder, reads the platform itself.
type ConfirmationOverdue struct {
	Held config.Version
	Age  time.Duration
	// Reader is the last node known to have read the platform, or empty.
	Reader string
}

func (n *ConfirmationOverdue) Error() string {
	return fmt.Sprintf("distribute: nobody has confirmed version %d for %v, last %q; this node reads the platform",
		n.Held.Number, n.Age.Round(time.Millisecond), n.Reader)
}

// Kind implements Finding.
func (n *ConfirmationOverdue) Kind() string { return "no_feeder" }

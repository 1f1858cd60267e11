package distribute

import (
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

// SourcePlatform names the platform as the source of a Finding. It cannot be
// a VM's ID.
const SourcePlatform = "(platform)"

// Finding is something that an operator should know: a *Conflict, a *StaleHead,
// a *BadPeer, an *UnverifiedSnapshot or a *ConfirmationOverdue.
type Finding interface {
	error
	// Kind is a short name for metrics.
	Kind() string
}

// Conflict tells of a version that belongs to another history than the one
// held, as after the platform was restored from a backup. It is not followed.
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

// StaleHead tells that the platform answered an older head than the version
// held. It is ignored.
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

// BadPeer tells of a peer whose answer did not verify.
type BadPeer struct {
	Peer string
	Err  error
}

func (b *BadPeer) Error() string { return "distribute: peer " + b.Peer + ": " + b.Err.Error() }

// Unwrap returns why the answer was refused.
func (b *BadPeer) Unwrap() error { return b.Err }

// Kind implements Finding.
func (b *BadPeer) Kind() string { return "bad_peer" }

// UnverifiedSnapshot tells of a snapshot that was dropped because no other peer knew
// its version, or nobody showed that it descends from the version held. Its
// sender may be ahead of all, have another history, or have made it up.
type UnverifiedSnapshot struct {
	Peer    string
	Version config.Version
}

func (u *UnverifiedSnapshot) Error() string {
	return fmt.Sprintf("distribute: nobody confirms that version %d (%s) of %s follows the one held",
		u.Version.Number, u.Version.Hash.Short(), u.Peer)
}

// Kind implements Finding.
func (u *UnverifiedSnapshot) Kind() string { return "unconfirmed" }

// ConfirmationOverdue tells that neither the feeders nor anybody else has confirmed the version held for
// so long that this node, which is no feeder, reads the platform itself.
type ConfirmationOverdue struct {
	Held config.Version
	Age  time.Duration
	// Reader is the node that the platform answered last, as far as is known here.
	Reader string
}

func (n *ConfirmationOverdue) Error() string {
	return fmt.Sprintf("distribute: nobody has confirmed version %d for %v, last %q; this node reads the platform",
		n.Held.Number, n.Age.Round(time.Millisecond), n.Reader)
}

// Kind implements Finding.
func (n *ConfirmationOverdue) Kind() string { return "no_feeder" }

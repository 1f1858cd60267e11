package distribute

import (
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

const (
	// inForceLimit is the operators' limit from the acceptance of a change until it is in force on
	// every node that reaches the platform.
	inForceLimit = 13 * time.Second
	// readAllowance is the part of inForceLimit reserved for reading the platform's head and log
	// and for putting the version in force.
	readAllowance = 800 * time.Millisecond
	// confirmWithin is the maximum age of the confirmation of a node that reads for itself alone.
	confirmWithin = inForceLimit - readAllowance
	// pushAllowance is reserved for pushing to the other nodes, in addition to Profile.PushDelay
	// for each of pushHops, from the node that reads through the first of a data centre to the
	// last.
	pushAllowance = 500 * time.Millisecond
	pushHops      = 3
	// fallbackSpread is the time between the fallback reads of the first and the last node of a
	// data centre. It starts late enough for a confirmation to spread through a data centre with
	// the membership's messages, as it does in normal operation.
	fallbackSpread = 2 * time.Second
	// peerSilenceTimeout is how long a node receives no message before it considers itself
	// isolated.
	peerSilenceTimeout = 5 * time.Second
)

// Confirmation is the most recent answer of the platform, or of another source of versions, that
// shows a version to be the newest.
type Confirmation struct {
	At     time.Time // when the source was read, or zero
	Reader string    // ID of the node that read it; empty if unknown
}

// MaxConfirmedAge bounds the age of a confirmation in a message; an older one counts as none.
const MaxConfirmedAge = time.Hour

// ConfirmationFromProto decodes the confirmation of a message received at now.
func ConfirmationFromProto(now time.Time, c *peerpb.Confirmation) Confirmation {
	ms := min(c.GetAgeMs(), uint64(MaxConfirmedAge.Milliseconds()))
	return Confirmation{At: now.Add(-time.Duration(ms) * time.Millisecond), Reader: c.GetReader()}
}

// Proto encodes the confirmation for a message sent at now, or returns nil if there is none.
func (c Confirmation) Proto(now time.Time) *peerpb.Confirmation {
	if c.Reader == "" {
		return nil
	}
	return &peerpb.Confirmation{AgeMs: CeilMilliseconds(now.Sub(c.At)), Reader: c.Reader}
}

// CeilMilliseconds returns an age for a message, rounded up: rounded down, it would shrink at each
// node that forwards it.
func CeilMilliseconds(age time.Duration) uint64 {
	return uint64((max(age, 0) + time.Millisecond - 1).Milliseconds())
}

// recordConfirmation records that the platform, read by reader at that time, had no version newer
// than the one held.
func (s *State) recordConfirmation(at time.Time, reader string) {
	if at.After(s.confirmed.At) {
		s.confirmed = Confirmation{at, reader}
	}
}

// RecordMessage records what every message of a peer carries: that the peer is reachable, and the
// confirmation of its version. A confirmation of an older version in the history held also covers
// the version held.
func (s *State) RecordMessage(now time.Time, e VersionReceived) {
	s.lastMessageAt = now
	if e.Confirmed.Reader != "" && s.chain.relation(e.Version) == relationHeld {
		s.recordConfirmation(e.Confirmed.At, e.Confirmed.Reader)
	}
}

// confirmFromRead confirms the version held once it has reached the head that this node read from
// the platform.
func (s *State) confirmFromRead() {
	f := &s.feed
	if f.sentAt.After(s.confirmed.At) && f.headCurrent && s.chain.relation(f.answeredHead) == relationHeld {
		s.recordConfirmation(f.sentAt, s.set.Self)
	}
}

// confirmedSince returns when the version held was last known to be the newest, or when this node
// started.
func (s *State) confirmedSince() time.Time {
	if s.confirmed.At.IsZero() {
		return s.started
	}
	return s.confirmed.At
}

// fallbackReadDue reports whether a node that is not a feeder has to read the platform itself.
//
// It guards against feeders that get no answer and feeders that this node cannot reach: both look
// like a period without changes. The nodes of a data centre read one after the other, by rank, so
// that the first one that the platform answers confirms the version to the others before most of
// them read. After an answer that confirms nothing, such as an older head, a node waits for as long
// as the limit allows.
func (s *State) fallbackReadDue() bool {
	f := &s.feed
	if f.feeder || !s.startup.done || s.now.Before(f.fallbackAfter) {
		return false
	}
	if f.answeredSentAt.After(s.confirmed.At) && s.now.Sub(f.answeredSentAt) < s.isolatedReadInterval() {
		return false
	}
	return s.now.Sub(s.confirmedSince()) >= s.fallbackReadAge()
}

// fallbackReadAge returns the age of the confirmation at which a node that is not a feeder reads
// the platform.
func (s *State) fallbackReadAge() time.Duration {
	f := &s.feed
	if s.confirmed.Reader == s.set.Self && s.peersSilent() {
		return s.isolatedReadInterval()
	}
	latest := confirmWithin - pushAllowance - pushHops*s.set.Profile.PushDelay
	return latest - fallbackSpread*time.Duration(f.candidates-f.rank)/time.Duration(max(f.candidates, 1))
}

// isolatedReadInterval returns the time between the reads of a node that receives no confirmation
// from others. All nodes of its data centre may be in the same state; together they read as often
// as the feeders would, or as seldom as the limit allows.
func (s *State) isolatedReadInterval() time.Duration {
	shared := s.set.Profile.HeadInterval * time.Duration(s.feed.candidates) / feedersPerDC
	return min(shared, confirmWithin)
}

// reportFallbackRead reports a fallback read that was needed: it found a newer version, or no other
// node has confirmed the version held since the previous read. It reports once until another node
// confirms. In a large data centre confirmations are occasionally late; a read for that reason
// alone is not a fault.
func (s *State) reportFallbackRead(needed bool) {
	f := &s.feed
	if s.confirmed.Reader != s.set.Self {
		f.fallbackReported = false
	}
	if !needed || f.fallbackReported {
		return
	}
	f.fallbackReported = true
	s.emit(FallbackRead{&ConfirmationOverdue{Held: s.Version(), Age: s.now.Sub(s.confirmedSince()), Reader: s.confirmed.Reader}})
}

// isolated reports whether this node receives no message from the members it knows. What a feeder
// reads then reaches no other node.
func (s *State) isolated() bool { return s.feed.mostSuspect && s.peersSilent() }

func (s *State) peersSilent() bool { return s.now.Sub(s.lastMessageAt) >= peerSilenceTimeout }

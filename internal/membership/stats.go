package membership

import "github.com/marlpass/marlpass/internal/gen/peerpb"

// messageKinds is the number of message kinds. It sizes arrays indexed by peerpb.Kind.
const messageKinds = int(peerpb.Kind_KIND_BRIDGE) + 1

// Traffic counts messages of one kind. Bytes are the size of the encoded
// messages, without transport overhead.
type Traffic struct {
	Sent, Received           uint64
	SentBytes, ReceivedBytes uint64
}

// Stats holds the counters of a State since its start, and a few gauges.
type Stats struct {
	Records    int // live records, including this node's
	Tombstones int
	Suspected  int // nodes currently under suspicion

	Probes          uint64 // sent
	ProbeFailures   uint64 // direct probes without an answer
	Suspicions      uint64 // raised by this node's own probes
	FalseSuspicions uint64 // of these, later refuted
	Refutations     uint64 // claims about this node that it refuted
	Deaths          uint64 // nodes declared dead by this node
	DeferredDeaths  uint64 // declarations deferred because this node may be partitioned
	Pauses          uint64 // gaps between ticks treated as a pause of this process
	Refused         uint64 // invalid or over-limit records, claims and messages
	JoinsServed     uint64
	JoinsRefused    uint64
	JoinAttempts    uint64 // join requests sent by this node
	Syncs           uint64 // anti-entropy syncs started by this node
	Pushes          uint64 // urgent messages sent
	Views           uint64 // views built
	DuplicateIDs    uint64 // times another process was observed under this node's ID
	Health          int    // local health multiplier; 0 is healthy
	// Traffic is indexed by kind; an answer counts under the kind of its request.
	Traffic [messageKinds]Traffic
}

// Stats returns the counters.
func (s *State) Stats() Stats {
	st := s.stats
	st.Records = s.live + 1
	st.Tombstones = len(s.entries) - s.live
	st.Suspected = len(s.suspects)
	st.Health = s.health
	return st
}

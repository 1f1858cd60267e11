package membership

import "github.com/marlpass/marlpass/internal/gen/peerpb"

// kinds is the number of message kinds, for arrays indexed by peerpb.Kind.
const kinds = int(peerpb.Kind_KIND_BRIDGE) + 1

// Traffic counts messages of one kind. Bytes are those of the encoded message,
// without what carries it.
type Traffic struct {
	Sent, Received           uint64
	SentBytes, ReceivedBytes uint64
}

// Stats counts what a State did since its start.
type Stats struct {
	Records    int // live records, the own one included
	Tombstones int
	Suspected  int // now

	Probes          uint64 // sent
	ProbeFailures   uint64 // unanswered directly
	Suspicions      uint64 // raised by this node's own probes
	FalseSuspicions uint64 // of these, refuted
	Refutations     uint64 // of claims about this node
	Deaths          uint64 // decided by this node
	DeferredDeaths  uint64 // checks at which a declaration was put off, as the cut may be ours
	Pauses          uint64 // gaps between ticks taken for a pause
	Refused         uint64 // records, claims and messages over a limit
	JoinsServed     uint64
	JoinsRefused    uint64
	JoinAttempts    uint64 // of this node
	Syncs           uint64 // opened by this node
	Pushes          uint64 // urgent messages sent
	Views           uint64 // views built
	DuplicateIDs    uint64 // times another process was seen under this node's ID
	Health          int    // local health multiplier: 0 is well
	// Traffic by kind; an answer counts under the kind of its request.
	Traffic [kinds]Traffic
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

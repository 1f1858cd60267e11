package quarantine

import (
	"testing"
	"time"
)

// The second of two crashes comes before an answer could clear the lookups that
// were beside the bad request at the first. A popular lookup is in flight at
// both crashes, and was refused to everybody for half an hour along with the bad
// request. The bad request, which nobody ever answered, accounts for both.
func TestPopularLookupBesideTwoCrashesStaysFree(t *testing.T) {
	bad := NewFingerprint("GET", "", "/bad", "", nil, 0, nil)
	popular := NewFingerprint("GET", "", "/lookups/1", "", nil, 0, nil)
	for _, tt := range []struct {
		name              string
		answeredAt        int // node where the lookup was answered before
		withBad           bool
		badOut, lookupOut bool
	}{
		{"known at the first", 0, true, true, false},
		{"known at the second", 1, true, true, false},
		{"a known request alone at both crashes is the cause", 1, false, false, true},
	} {
		now := time.Now()
		nodes := [2]*List{New(now, Options{Self: "vm0"}), New(now, Options{Self: "vm1"})}
		start := func(l *List, fp Fingerprint) Token {
			tok, err := l.Start(now, fp, "a", Request{})
			if err != nil {
				t.Fatalf("%s: %v", tt.name, err)
			}
			return tok
		}
		known := nodes[tt.answeredAt]
		known.Done(now, start(known, popular), Answered)
		for i, l := range nodes {
			now = now.Add(10 * time.Millisecond)
			l.Done(now, start(l, popular), Broken)
			if tt.withBad {
				l.Done(now, start(l, bad), Broken)
			}
			nodes[1-i].MergeNotices(now, l.opt.Self, l.Crashed(now, "a"))
		}
		for i, l := range nodes {
			_, badOut := l.Blocked(now, bad)
			_, lookupOut := l.Blocked(now, popular)
			if badOut != tt.badOut || lookupOut != tt.lookupOut {
				t.Errorf("%s: node %d holds back the bad request: %t, the lookup: %t", tt.name, i, badOut, lookupOut)
			}
		}
	}
}

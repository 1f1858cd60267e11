package quarantine

import (
	"testing"
	"time"
)

// A popular lookup is in flight beside a bad request at two crashes, with no answer in between to
// clear it. It was refused to all callers for half an hour along with the bad request, which was
// never answered and accounts for both crashes.
func TestPopularLookupBesideTwoCrashesIsNotRefused(t *testing.T) {
	bad := NewFingerprint("GET", "", "/bad", "", nil, 0, nil)
	popular := NewFingerprint("GET", "", "/lookups/1", "", nil, 0, nil)
	for _, tt := range []struct {
		name                      string
		answeredAt                int // node where the lookup was answered before
		withBad                   bool
		badBlocked, lookupBlocked bool
	}{
		{"answered at the first", 0, true, true, false},
		{"answered at the second", 1, true, true, false},
		{"an answered request alone at both crashes is the cause", 1, false, false, true},
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
			_, badBlocked := l.Blocked(now, bad)
			_, lookupBlocked := l.Blocked(now, popular)
			if badBlocked != tt.badBlocked || lookupBlocked != tt.lookupBlocked {
				t.Errorf("%s: node %d blocks the bad request: %t, the lookup: %t", tt.name, i, badBlocked, lookupBlocked)
			}
		}
	}
}

package quarantine

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

func TestMemoryIsBounded(t *testing.T) {
	l := New(start, Options{Self: "a", MaxEntries: 10, MaxNotices: 4})
	bad := request("bad")
	crash(t, l, start, "x", bad)
	crash(t, l, start, "y", bad)
	for i := range 100 {
		crash(t, l, start.Add(time.Duration(i)*time.Millisecond), "z", request(fmt.Sprint(i)))
	}
	if n := len(l.Entries(start)); n != 10 {
		t.Errorf("%d entries", n)
	}
	if n := len(l.Notices(start)); n != 4 {
		t.Errorf("%d notices", n)
	}
	if _, blocked := l.Blocked(start, bad); !blocked {
		t.Error("the quarantined request was dropped before suspects")
	}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Second)
		l.Done(now, begin(t, l, now, request("reset"), "w"), Broken)
	}
	if n := len(l.tracker("w").runs); n > 16 {
		t.Errorf("%d runs kept", n)
	}
}

// A node whose backend servers are replaced each day under new names holds a
// little of each for good. But one that crashed is gone from the registry before
// its crash is laid to anything, and what broke there must still be known then.
func TestGoneBackendServersAreForgotten(t *testing.T) {
	l, fp := newList("a"), request("x")
	nothing := func(string) bool { return false }
	l.Done(start, begin(t, l, start, request("y"), "old"), Answered)
	l.Done(start, begin(t, l, start, fp, "crashed"), Broken)
	open := begin(t, l, start, fp, "busy")
	l.Retain(start, nothing)
	l.Retain(start.Add(DefaultCrashWindow), nothing)
	if _, kept := l.trackers.Load("old"); !kept {
		t.Error("forgotten within the crash window")
	}
	if ns := l.Crashed(start.Add(DefaultCrashWindow), "crashed"); len(ns) != 1 {
		t.Errorf("the evidence is gone: %v", ns)
	}
	later := start.Add(2 * DefaultCrashWindow)
	l.Retain(later, nothing)
	if n := l.trackerCount(); n != 1 {
		t.Errorf("%d kept, of which one has a call in flight", n)
	}
	l.Done(later, open, Answered)
	l.Retain(later, func(string) bool { return true })
	l.Retain(later.Add(time.Hour), nothing)
	if n := l.trackerCount(); n != 1 {
		t.Error("one that came back is forgotten at once")
	}
	l.Retain(later.Add(2*time.Hour), nothing)
	if n := l.trackerCount(); n != 0 {
		t.Errorf("%d kept for good", n)
	}
}

func (l *List) trackerCount() (n int) {
	l.trackers.Range(func(any, any) bool { n++; return true })
	return n
}

func TestMergePassesOverWhatIsNotOurs(t *testing.T) {
	l := newList("a")
	l.MergeNotices(start, "b", []membership.Notice{
		{Kind: "other", ID: "1"},
		{Kind: string(KindSuspect), ID: "short", Expires: start.Add(time.Hour).UnixMilli()},
		{Kind: string(KindSuspect), ID: request("x").String(), Detail: "{", Expires: start.Add(time.Hour).UnixMilli()},
		{Kind: string(KindSuspect), ID: request("x").String(), Detail: `{"crashes":[{"id":"c"}]}`, Expires: start.UnixMilli()},
	})
	if es := l.Entries(start); len(es) != 0 {
		t.Errorf("entries: %v", es)
	}
	far := membership.Notice{Kind: string(KindSuspect), ID: request("x").String(), Detail: `{"crashes":[{"id":"c"}]}`, Expires: start.Add(1000 * time.Hour).UnixMilli()}
	l.MergeNotices(start, "b", []membership.Notice{far})
	if es := l.Entries(start); len(es) != 1 || es[0].Expires.After(start.Add(DefaultSuspectFor)) {
		t.Errorf("another clock makes it last: %+v", es)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	h := http.Header{"Accept": {"application/json"}, "Content-Type": {"application/json"}}
	for _, n := range []int{0, 256, FingerprintBodyBytes} {
		b.Run(fmt.Sprintf("head=%d", n), func(b *testing.B) {
			head := make([]byte, n)
			b.ReportAllocs()
			for b.Loop() {
				NewFingerprint("POST", "berths.example", "/bookings/haul-out", "", h, int64(n), head)
			}
		})
	}
}

func BenchmarkBlockedStartDone(b *testing.B) {
	l, fp := newList("a"), request("x")
	for i := range 100 {
		l.Done(start, Token{}, Answered)
		tok, _ := l.Start(start, request(fmt.Sprint(i)), "y", Request{})
		l.Done(start, tok, Broken)
		l.Crashed(start, "y")
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Blocked(start, fp)
		tok, _ := l.Start(start, fp, "x", Request{})
		l.Done(start, tok, Answered)
	}
}

// A quarantine ends by itself a moment after it began. A copy of the bad request
// was under way at a third endpoint that answered it, by luck.
func TestAnswerDoesNotEndAQuarantine(t *testing.T) {
	l, bad := newList("a"), request("bad")
	crash(t, l, start, "b1", bad)
	tok := begin(t, l, start, bad, "b3")
	crash(t, l, start, "b2", bad)
	l.Done(start, tok, Answered)
	// The same when the quarantine begins between the look at the entry and
	// its clearing.
	l.clear(start, bad, byAnswer)
	if _, blocked := l.Blocked(start, bad); !blocked {
		t.Error("an answer ended the quarantine")
	}
}

// An operator lifts a quarantine at a node that found as many bad requests as
// its record has room for. The lift was told last, so never: every other node
// went on refusing the request, and nobody saw why.
func TestLiftIsToldBesideManyQuarantines(t *testing.T) {
	a, b := newList("a"), newList("b")
	lifted := request("lifted")
	for i := range DefaultMaxNotices + 1 {
		fp := lifted
		if i > 0 {
			fp = request("bad" + strconv.Itoa(i))
		}
		crash(t, a, start, "x", fp)
		crash(t, a, start, "y", fp)
	}
	for _, e := range a.Entries(start) {
		b.MergeNotices(start, "a", []membership.Notice{e.notice()})
	}
	if err := a.Lift(start, lifted, "ann"); err != nil {
		t.Fatal(err)
	}
	b.MergeNotices(start, "a", a.Notices(start))
	if _, blocked := b.Blocked(start, lifted); blocked {
		t.Error("the lift was not told")
	}
	if n := len(a.Notices(start)); n != DefaultMaxNotices {
		t.Errorf("%d notices, want %d", n, DefaultMaxNotices)
	}
}

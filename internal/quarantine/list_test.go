package quarantine

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, nil) }

var start = time.Unix(1_700_000_000, 0)

func request(body string) Fingerprint {
	h := http.Header{"Content-Type": {"application/json"}}
	return NewFingerprint("POST", "berths", "/bookings", "", h, int64(len(body)), []byte(body))
}

func newList(vm string) *List { return New(start, Options{Self: vm}) }

func begin(t testing.TB, l *List, now time.Time, fp Fingerprint, ep string) Token {
	t.Helper()
	tok, err := l.Start(now, fp, ep, Request{Method: "POST", Path: "/bookings"})
	if err != nil {
		t.Fatal(err)
	}
	return tok
}

// crash lets the backend server crash with the given requests in flight.
func crash(t testing.TB, l *List, now time.Time, ep string, fps ...Fingerprint) []membership.Notice {
	t.Helper()
	var toks []Token
	for _, fp := range fps {
		toks = append(toks, begin(t, l, now, fp, ep))
	}
	for _, tok := range toks {
		l.Done(now, tok, Broken)
	}
	return l.Crashed(now, ep)
}

func TestOf(t *testing.T) {
	base := func() (string, string, string, string, http.Header, int64, []byte) {
		return "POST", "h", "/p", "q=1", http.Header{"Content-Type": {"a"}}, 3, []byte("abc")
	}
	want := NewFingerprint(base())
	m, h, p, q, hd, n, b := base()
	differ := map[string]Fingerprint{
		"method": NewFingerprint("PUT", h, p, q, hd, n, b),
		"host":   NewFingerprint(m, "i", p, q, hd, n, b),
		"path":   NewFingerprint(m, h, "/q", q, hd, n, b),
		"query":  NewFingerprint(m, h, p, "q=2", hd, n, b),
		"header": NewFingerprint(m, h, p, q, http.Header{"Range": {"a"}}, n, b),
		"length": NewFingerprint(m, h, p, q, hd, 4, b),
		"body":   NewFingerprint(m, h, p, q, hd, n, []byte("abd")),
		"border": NewFingerprint(m, h, "/pq", "=1", hd, n, b),
	}
	for name, fp := range differ {
		if fp == want {
			t.Errorf("another %s makes no other fingerprint", name)
		}
	}
	resend := hd.Clone()
	resend.Set("Idempotency-Key", "2")
	resend.Set("Traceparent", "x")
	resend.Set("Authorization", "another caller")
	if NewFingerprint(m, h, p, q, resend, n, b) != want {
		t.Error("a resend has another fingerprint")
	}
	back, err := ParseFingerprint(want.String())
	if err != nil || back != want {
		t.Errorf("parsed %v, %v", back, err)
	}
	if _, err := ParseFingerprint("zz"); !errors.Is(err, ErrFingerprint) {
		t.Errorf("got %v", err)
	}
}

func TestEvidence(t *testing.T) {
	cases := []struct {
		name string
		e    Evidence
		want bool
	}{
		{"reset", Evidence{Broken: true}, false},
		{"crash", Evidence{Broken: true, ConnectRefused: true}, true},
		{"crash and quick restart", Evidence{Broken: true, Restarted: true}, true},
		{"planned stop", Evidence{Broken: true, ConnectRefused: true, Leaving: true}, false},
		{"restart with nothing in flight", Evidence{Restarted: true}, false},
	}
	for _, c := range cases {
		if got := c.e.IsCrash(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// One request crashes each backend server that runs it, and its caller sends it
// again. The second crash must be the last.
func TestSecondCrashQuarantines(t *testing.T) {
	l, bad := newList("a"), request("bad")
	if ns := crash(t, l, start, "b1", bad); len(ns) != 1 || ns[0].Kind != string(KindSuspect) {
		t.Fatalf("alerts after the first crash: %v", ns)
	}
	if _, blocked := l.Blocked(start, bad); blocked || !l.Isolated(start, bad) {
		t.Fatal("after one crash it must run, isolated")
	}
	if ns := crash(t, l, start, "b2", bad); ns[0].Kind != string(KindQuarantined) {
		t.Fatalf("alerts after the second crash: %v", ns)
	}
	e, blocked := l.Blocked(start, bad)
	if !blocked || e.RequestLine != "POST /bookings" {
		t.Fatalf("not blocked: %+v", e)
	}
	_, err := l.Start(start, bad, "b3", Request{})
	var r *call.Refusal
	if !errors.As(err, &r) || r.Reason != call.ReasonQuarantined || r.RetryAfter != DefaultQuarantineFor {
		t.Errorf("got %v", err)
	}
	if _, blocked := l.Blocked(start.Add(DefaultQuarantineFor), bad); blocked {
		t.Error("blocked after its expiry")
	}
}

// An owner's booking is refused for half an hour because it ran beside a bad
// request. It ran beside it once, then was answered; it must be cleared.
func TestInnocentIsClearedByItsAnswer(t *testing.T) {
	l, bad, innocent := newList("a"), request("bad"), request("innocent")
	crash(t, l, start, "b1", bad, innocent)
	l.Done(start, begin(t, l, start, innocent, "b2"), Answered)
	if l.Isolated(start, innocent) {
		t.Error("still a suspect after its answer")
	}
	crash(t, l, start, "b2", bad, innocent)
	if _, blocked := l.Blocked(start, innocent); blocked {
		t.Error("the innocent request is blocked")
	}
	if _, blocked := l.Blocked(start, bad); !blocked {
		t.Error("the bad request is not")
	}
}

// All traders' most asked for lookup is refused. It is in flight at every
// crash, because it is in flight always; but it is answered all the time.
func TestPopularRequestIsNotIsolated(t *testing.T) {
	a, b, popular := newList("a"), newList("b"), request("popular")
	for _, l := range []*List{a, b} {
		l.Done(start, begin(t, l, start, popular, "x"), Answered)
	}
	fromA := crash(t, a, start, "x", request("bad"), popular)
	fromB := crash(t, b, start, "x", request("bad"), popular)
	c := newList("c")
	c.MergeNotices(start, "a", fromA)
	c.MergeNotices(start, "b", fromB)
	if _, blocked := c.Blocked(start, popular); blocked || c.Isolated(start, popular) {
		t.Error("the popular request is held back")
	}
	if _, blocked := c.Blocked(start, request("bad")); !blocked {
		t.Error("two crashes on two nodes don't block")
	}
}

// A request that was harmless becomes bad when the data changes. That it was
// answered before must not let it crash more than two backend servers.
func TestRequestThatTurnsBad(t *testing.T) {
	a, b, fp := newList("a"), newList("b"), request("turns bad")
	for _, l := range []*List{a, b} {
		l.Done(start, begin(t, l, start, fp, "x"), Answered)
	}
	now := start.Add(time.Minute)
	b.MergeNotices(now, "a", crash(t, a, now, "x", fp))
	told := crash(t, b, now, "x", fp)
	if _, blocked := b.Blocked(now, fp); !blocked {
		t.Error("not blocked where it crashed the second backend server")
	}
	a.MergeNotices(now, "b", told)
	if _, blocked := a.Blocked(now, fp); !blocked {
		t.Error("not blocked elsewhere")
	}
}

// A bad request and its resend run at one endpoint at the same time as other
// suspects, and all of them are in flight at the second crash. Suspects run
// one at a time, so that the second crash has one suspect only.
func TestSuspectsRunOneAtATime(t *testing.T) {
	l, bad, innocent := newList("a"), request("bad"), request("innocent")
	crash(t, l, start, "b1", bad, innocent)
	tok := begin(t, l, start, bad, "b2")
	_, err := l.Start(start, innocent, "b2", Request{})
	var r *call.Refusal
	if !errors.As(err, &r) || r.Reason != call.ReasonOverloaded || r.RetryAfter == 0 {
		t.Fatalf("a second suspect: %v", err)
	}
	begin(t, l, start, request("other"), "b2")
	l.Done(start, tok, Broken)
	l.Crashed(start, "b2")
	if _, blocked := l.Blocked(start, innocent); blocked {
		t.Error("the innocent suspect is blocked")
	}
	begin(t, l, start, innocent, "b2")
}

func TestBrokenLongAgoIsNotInFlight(t *testing.T) {
	l, fp := newList("a"), request("x")
	l.Done(start, begin(t, l, start, fp, "b"), Broken)
	if ns := l.Crashed(start.Add(DefaultCrashWindow+time.Second), "b"); len(ns) != 0 {
		t.Errorf("blamed: %v", ns)
	}
	l.Done(start, begin(t, l, start, fp, "b"), Dropped)
	if ns := l.Crashed(start, "b"); len(ns) != 0 {
		t.Errorf("blamed what was dropped: %v", ns)
	}
}

// An operator lifts a quarantine, and the next exchange with a node that had
// not heard of it brings it back. Lifted crashes stay lifted.
func TestLiftHoldsAgainstOldNotices(t *testing.T) {
	a, b, fp := newList("a"), newList("b"), request("x")
	crash(t, a, start, "x", fp)
	old := crash(t, a, start, "y", fp)
	b.MergeNotices(start, "a", old)
	if err := b.Lift(start, fp, "ann"); err != nil {
		t.Fatal(err)
	}
	if err := b.Lift(start, fp, "ann"); !errors.Is(err, ErrNotListed) {
		t.Errorf("lifted twice: %v", err)
	}
	b.MergeNotices(start, "a", old)
	a.MergeNotices(start, "b", b.Notices(start))
	for _, l := range []*List{a, b} {
		if _, blocked := l.Blocked(start, fp); blocked {
			t.Error("blocked again")
		}
	}
	again := crash(t, a, start, "x", fp)
	b.MergeNotices(start, "a", again)
	b.MergeNotices(start, "a", old)
	if _, blocked := b.Blocked(start, fp); blocked || !b.Isolated(start, fp) {
		t.Error("one crash after the lift must make a suspect, no more")
	}
	if es := b.Entries(start); len(es) != 1 || es[0].Kind != KindSuspect {
		t.Errorf("entries: %+v", es)
	}
}

// One call is sent on by its own entry node to one endpoint after another
// faster than any notice. What broke at two endpoints is held back for a moment.
func TestEntryHoldsWhatBrokeTwice(t *testing.T) {
	l, fp := newList("entry"), request("x")
	l.Broke(start, fp, "b1")
	if _, blocked := l.Blocked(start, fp); blocked || !l.Isolated(start, fp) {
		t.Error("after one break it must run, isolated")
	}
	l.Broke(start, fp, "b2")
	e, blocked := l.Blocked(start, fp)
	if !blocked || e.NewRefusal(start).RetryAfter != DefaultHoldFor || e.NewRefusal(start).Reason != call.ReasonHeldBack {
		t.Errorf("after two breaks: %v %+v", blocked, e)
	}
	if _, blocked := l.Blocked(start.Add(DefaultHoldFor), fp); blocked {
		t.Error("held for good")
	}
	known := request("known")
	l.Answered(start, known)
	l.Broke(start, known, "b1")
	l.Broke(start, known, "b2")
	if _, blocked := l.Blocked(start, known); blocked {
		t.Error("a request that is answered is held")
	}
}

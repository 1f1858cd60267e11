package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/membership"
)

// Defaults of Options.
const (
	DefaultSuspectFor     = 10 * time.Minute
	DefaultQuarantineFor  = 30 * time.Minute
	DefaultCrashWindow    = 5 * time.Second
	DefaultAnsweredWindow = 10 * time.Minute
	DefaultHoldFor        = 3 * time.Second
	DefaultMaxEntries     = 1024
	DefaultMaxNotices     = 32
)

// isolatedRetry is when a suspect may come back that found another one running.
const isolatedRetry = time.Second

// Options sets up a List. Zero fields take the defaults.
type Options struct {
	Self string // the VM of this node
	// SuspectFor and QuarantineFor are how long each lasts by itself.
	SuspectFor    time.Duration
	QuarantineFor time.Duration
	// CrashWindow is how long after its connection broke a request counts as
	// in flight at a crash.
	CrashWindow time.Duration
	// AnsweredWindow is how long an answer speaks for a request.
	AnsweredWindow time.Duration
	// HoldFor is how long the entry node goes by broken calls alone, until the
	// destination nodes have told whether backend servers crashed.
	HoldFor    time.Duration
	MaxEntries int
	MaxNotices int
}

func (o Options) withDefaults() Options {
	o.SuspectFor = cmp.Or(o.SuspectFor, DefaultSuspectFor)
	o.QuarantineFor = cmp.Or(o.QuarantineFor, DefaultQuarantineFor)
	o.CrashWindow = cmp.Or(o.CrashWindow, DefaultCrashWindow)
	o.AnsweredWindow = cmp.Or(o.AnsweredWindow, DefaultAnsweredWindow)
	o.HoldFor = cmp.Or(o.HoldFor, DefaultHoldFor)
	o.MaxEntries = cmp.Or(o.MaxEntries, DefaultMaxEntries)
	o.MaxNotices = cmp.Or(o.MaxNotices, DefaultMaxNotices)
	return o
}

type entries map[Fingerprint]*Entry

// List is what one node knows of bad requests. It is safe for concurrent use.
// On a call's path it reads an immutable map and one atomic word, and notes the
// run under the lock of its backend server.
type List struct {
	opt      Options
	answered answered
	trackers sync.Map // backend server -> *tracker
	current  atomic.Pointer[entries]
	held     holds

	mu      sync.Mutex // held by whoever replaces current
	own     []Fingerprint
	crashes int
}

// New returns an empty List.
func New(now time.Time, o Options) *List {
	l := &List{opt: o.withDefaults()}
	l.answered.base = now
	l.current.Store(&entries{})
	return l
}

func (l *List) lookup(now time.Time, fp Fingerprint) *Entry {
	m := *l.current.Load()
	if len(m) == 0 {
		return nil
	}
	e := m[fp]
	if e == nil || e.expired(now) {
		return nil
	}
	return e
}

// Blocked reports whether the request must not run, and why.
func (l *List) Blocked(now time.Time, fp Fingerprint) (Entry, bool) {
	if e := l.lookup(now, fp); e != nil && e.Kind == KindQuarantined {
		return *e, true
	}
	if until, ok := l.held.blocked(now, fp); ok {
		return Entry{Fingerprint: fp, Kind: KindSuspect, Expires: until}, true
	}
	return Entry{}, false
}

// NewRefusal returns the refusal for a blocked request. One that is not quarantined
// is held back for seconds, and its caller must be told to come back: a refusal
// that reads as final would make it give up a harmless booking.
func (e *Entry) NewRefusal(now time.Time) *call.Refusal {
	if e.Kind != KindQuarantined {
		return &call.Refusal{
			Reason:     call.ReasonHeldBack,
			RetryAfter: e.Expires.Sub(now),
			Detail:     "calls with request " + e.Fingerprint.String() + " broke at two endpoints a moment ago",
		}
	}
	return &call.Refusal{
		Reason:     call.ReasonQuarantined,
		RetryAfter: e.Expires.Sub(now),
		Detail:     "request " + e.Fingerprint.String() + " crashed backend servers",
	}
}

// Isolated reports whether the request is a suspect, which an entry node sends
// to the endpoint that its Key chooses and to no other.
func (l *List) Isolated(now time.Time, fp Fingerprint) bool {
	if e := l.lookup(now, fp); e != nil && e.Kind != KindLifted {
		return e.isolated()
	}
	return l.held.isolated(now, fp)
}

// CrashedAt returns the endpoints, as VM/backend server, that crashed with the
// suspect in flight. An entry node doesn't choose them for its isolated run:
// they are starting again, and the choice would change under the run when they
// come back, so that two endpoints would run it.
func (l *List) CrashedAt(now time.Time, fp Fingerprint) []string {
	if e := l.lookup(now, fp); e != nil {
		return e.crashedAt()
	}
	return l.held.crashedAt(now, fp)
}

// Start notes at the destination node that the request is about to run at the
// backend server. The error is a *call.Refusal when it must not run now.
func (l *List) Start(now time.Time, fp Fingerprint, endpoint string, what Request) (Token, error) {
	e := l.lookup(now, fp)
	if e != nil && e.Kind == KindQuarantined {
		return Token{}, e.NewRefusal(now)
	}
	tok, ok := l.tracker(endpoint).start(now, fp, what, e != nil && e.isolated())
	if !ok {
		return Token{}, &call.Refusal{
			Reason:     call.ReasonOverloaded,
			RetryAfter: isolatedRetry,
			Detail:     "another suspect request is running",
		}
	}
	return tok, nil
}

// Done notes how the run ended. An answer clears a suspect.
func (l *List) Done(now time.Time, tok Token, end RunResult) {
	if tok.t == nil {
		return
	}
	tok.t.finish(now, tok, end)
	if end != Answered {
		return
	}
	l.answered.note(now, tok.fp)
	if e := l.lookup(now, tok.fp); e != nil && e.Kind == KindSuspect {
		l.clear(now, tok.fp, byAnswer)
	}
}

func (l *List) tracker(endpoint string) *tracker {
	if t, ok := l.trackers.Load(endpoint); ok {
		return t.(*tracker)
	}
	t, _ := l.trackers.LoadOrStore(endpoint, &tracker{window: l.opt.CrashWindow})
	return t.(*tracker)
}

// Retain forgets the backend servers that have been absent for longer than the
// crash window and have nothing in flight. It is to be called now and again.
//
// The window guards the evidence: one that crashed may be gone before its crash
// is laid to what broke there.
func (l *List) Retain(now time.Time, present func(endpoint string) bool) {
	l.trackers.Range(func(endpoint, t any) bool {
		if t.(*tracker).outlived(now, present(endpoint.(string))) {
			l.trackers.Delete(endpoint)
		}
		return true
	})
}

// Crashed takes in that a backend server of this node crashed. It returns the
// notices that the nodes holding the same service should be told at once.
func (l *List) Crashed(now time.Time, endpoint string) []membership.Notice {
	return l.lay(now, endpoint, withOpen)
}

// Restarted takes in that another process took the place of a backend server.
// Like Crashed it returns notices, of the requests whose connections broke.
//
// It guards against taking a planned replacement for a crash: the old process
// still runs what it had in flight, and a request that is slow enough to be
// there at two replacements would be quarantined.
func (l *List) Restarted(now time.Time, endpoint string) []membership.Notice {
	return l.lay(now, endpoint, brokenOnly)
}

// lay lays a crash to the requests that were in flight.
func (l *List) lay(now time.Time, endpoint string, w which) []membership.Notice {
	runs := l.tracker(endpoint).crashed(now, w)
	if len(runs) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashes++
	id := l.opt.Self + "/" + endpoint + "/" + strconv.FormatInt(now.UnixMilli(), 36) + "." + strconv.Itoa(l.crashes)
	next := maps.Clone(*l.current.Load())
	out := make([]membership.Notice, 0, len(runs))
	narrowed := l.narrowed(now, next, runs)
	for _, r := range runs {
		c := Crash{ID: id, AnsweredBefore: l.known(now, next[r.fp], r.fp)}
		c.Conclusive = next.crashedBefore(now, r.fp) && !(c.AnsweredBefore && narrowed)
		e := l.blame(now, next[r.fp], r, c)
		next[r.fp] = e
		l.claim(r.fp)
		out = append(out, e.notice())
	}
	l.publish(now, next)
	return out
}

// crashedBefore reports whether an earlier crash counts against the request.
func (es entries) crashedBefore(now time.Time, fp Fingerprint) bool {
	e := es[fp]
	return e != nil && !e.expired(now) && len(e.Crashes) > 0
}

// known reports whether the request was answered lately, here or at a node where
// it was in flight at an earlier crash.
func (l *List) known(now time.Time, e *Entry, fp Fingerprint) bool {
	if l.answered.within(now, fp, l.opt.AnsweredWindow) {
		return true
	}
	if e == nil || e.expired(now) {
		return false
	}
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.AnsweredBefore })
}

// narrowed reports whether a request that nobody ever answered was in flight at
// this crash and at an earlier one. It then accounts for both.
//
// It guards the popular lookups of a service. Two crashes close together find
// some of them in flight at both, before an answer could clear them, and they
// would be refused to everybody along with the bad request.
func (l *List) narrowed(now time.Time, es entries, runs []run) bool {
	return slices.ContainsFunc(runs, func(r run) bool {
		return es.crashedBefore(now, r.fp) && !l.known(now, es[r.fp], r.fp)
	})
}

// blame returns the entry of a request after one more crash.
func (l *List) blame(now time.Time, old *Entry, r run, c Crash) *Entry {
	e := &Entry{Fingerprint: r.fp}
	if old != nil && !old.expired(now) {
		e = old
	}
	e = e.with([]Crash{c}, nil)
	e.RequestLine = r.what.String()
	e.LiftedBy = ""
	e.Expires = now.Add(l.lifetime(e.Kind))
	return e
}

func (l *List) lifetime(k Kind) time.Duration {
	if k == KindSuspect {
		return l.opt.SuspectFor
	}
	return l.opt.QuarantineFor
}

// publish puts next in force, without what has expired and within the bound.
// The caller holds mu.
func (l *List) publish(now time.Time, next entries) {
	maps.DeleteFunc(next, func(_ Fingerprint, e *Entry) bool { return e.expired(now) })
	if extra := len(next) - l.opt.MaxEntries; extra > 0 {
		for _, e := range slices.SortedFunc(maps.Values(next), dropFirst)[:extra] {
			delete(next, e.Fingerprint)
		}
	}
	l.own = slices.DeleteFunc(l.own, func(fp Fingerprint) bool { return next[fp] == nil })
	l.current.Store(&next)
}

// dropFirst orders entries by what is missed least: suspects before the
// others, then what expires first.
func dropFirst(a, b *Entry) int {
	if c := cmp.Compare(weight(a.Kind), weight(b.Kind)); c != 0 {
		return c
	}
	if c := a.Expires.Compare(b.Expires); c != 0 {
		return c
	}
	return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String())
}

func weight(k Kind) int {
	switch k {
	case KindQuarantined:
		return 2
	case KindLifted:
		return 1
	}
	return 0
}

// Entries returns all that is held, quarantined first, for handover.
func (l *List) Entries(now time.Time) []Entry {
	var out []Entry
	for _, e := range *l.current.Load() {
		if !e.expired(now) {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return dropFirst(&b, &a) })
	return out
}

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

// isolatedRetryAfter is the retry delay of a suspect that found another one running.
const isolatedRetryAfter = time.Second

// Options configures a List. Zero fields take the defaults.
type Options struct {
	Self string // the VM of this node
	// SuspectFor and QuarantineFor are how long each state lasts without further events.
	SuspectFor    time.Duration
	QuarantineFor time.Duration
	// CrashWindow is how long after its connection broke a request still counts as in flight at a
	// crash.
	CrashWindow time.Duration
	// AnsweredWindow is how long after an answer a request counts as answered before.
	AnsweredWindow time.Duration
	// HoldFor is how long the entry node acts on broken calls alone, until the destination nodes
	// have reported whether backend servers crashed.
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

// List holds one node's suspected, quarantined and lifted requests. It is safe for concurrent use.
// On the path of a call it reads an immutable map and one atomic word, and records the run under
// its backend server's lock.
type List struct {
	opt           Options
	answeredCache answeredCache
	trackers      sync.Map // backend server -> *tracker
	current       atomic.Pointer[entries]
	entryHolds    holds

	mu         sync.Mutex // guards the fields below; held while current is replaced
	announced  []Fingerprint
	crashCount int
}

// New returns an empty List.
func New(now time.Time, o Options) *List {
	l := &List{opt: o.withDefaults()}
	l.answeredCache.base = now
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

// Blocked reports whether the request must not run, and returns its entry.
func (l *List) Blocked(now time.Time, fp Fingerprint) (Entry, bool) {
	if e := l.lookup(now, fp); e != nil && e.Kind == KindQuarantined {
		return *e, true
	}
	if until, ok := l.entryHolds.blocked(now, fp); ok {
		return Entry{Fingerprint: fp, Kind: KindSuspect, Expires: until}, true
	}
	return Entry{}, false
}

// NewRefusal returns the refusal for a blocked request. A request that is not quarantined is held
// back for seconds, and its caller must be asked to retry: after a refusal that seems final it
// would give up a harmless booking.
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

// Isolated reports whether the request is a suspect that an entry node must send to the endpoint
// selected by Fingerprint.Key and to no other.
func (l *List) Isolated(now time.Time, fp Fingerprint) bool {
	if e := l.lookup(now, fp); e != nil && e.Kind != KindLifted {
		return e.isolated()
	}
	return l.entryHolds.isolated(now, fp)
}

// CrashedAt returns the endpoints, as VM/backend server, that crashed with the suspect in flight.
// An entry node excludes them from the selection for the isolated run: they are restarting, and the
// selection would change during the run when they come back, so that two endpoints would run the
// request.
func (l *List) CrashedAt(now time.Time, fp Fingerprint) []string {
	if e := l.lookup(now, fp); e != nil {
		return e.crashedAt()
	}
	return l.entryHolds.crashedAt(now, fp)
}

// Start records at the destination node that the request is about to run at the backend server. The
// error is a *call.Refusal if it must not run now.
func (l *List) Start(now time.Time, fp Fingerprint, endpoint string, request Request) (Token, error) {
	e := l.lookup(now, fp)
	if e != nil && e.Kind == KindQuarantined {
		return Token{}, e.NewRefusal(now)
	}
	tok, ok := l.tracker(endpoint).start(now, fp, request, e != nil && e.isolated())
	if !ok {
		return Token{}, &call.Refusal{
			Reason:     call.ReasonOverloaded,
			RetryAfter: isolatedRetryAfter,
			Detail:     "another suspect request is running",
		}
	}
	return tok, nil
}

// Done records how the run ended. An answer clears a suspect.
func (l *List) Done(now time.Time, tok Token, end RunResult) {
	if tok.t == nil {
		return
	}
	tok.t.finish(now, tok, end)
	if end != Answered {
		return
	}
	l.answeredCache.record(now, tok.fp)
	if e := l.lookup(now, tok.fp); e != nil && e.Kind == KindSuspect {
		l.clear(now, tok.fp, liftedByAnswer)
	}
}

func (l *List) tracker(endpoint string) *tracker {
	if t, ok := l.trackers.Load(endpoint); ok {
		return t.(*tracker)
	}
	t, _ := l.trackers.LoadOrStore(endpoint, &tracker{window: l.opt.CrashWindow})
	return t.(*tracker)
}

// Retain drops the state of backend servers that have been absent for longer than the crash window
// and have nothing in flight. It must be called periodically.
//
// The window preserves the evidence: a crashed backend server may be absent before its crash is
// attributed to the requests that broke there.
func (l *List) Retain(now time.Time, present func(endpoint string) bool) {
	l.trackers.Range(func(endpoint, t any) bool {
		if t.(*tracker).removable(now, present(endpoint.(string))) {
			l.trackers.Delete(endpoint)
		}
		return true
	})
}

// Crashed records that a backend server of this node crashed. It returns the notices to send at
// once to the nodes that hold the same service.
func (l *List) Crashed(now time.Time, endpoint string) []membership.Notice {
	return l.recordCrash(now, endpoint, includeOpen)
}

// Restarted records that another process replaced a backend server. Like Crashed it returns
// notices, for the requests whose connections broke.
//
// Runs that are still open don't count: after a planned replacement the old process still runs
// them, and a slow request in flight at two replacements would be quarantined.
func (l *List) Restarted(now time.Time, endpoint string) []membership.Notice {
	return l.recordCrash(now, endpoint, brokenOnly)
}

// recordCrash attributes a crash to the requests that were in flight.
func (l *List) recordCrash(now time.Time, endpoint string, w runFilter) []membership.Notice {
	runs := l.tracker(endpoint).crashed(now, w)
	if len(runs) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashCount++
	id := l.opt.Self + "/" + endpoint + "/" + strconv.FormatInt(now.UnixMilli(), 36) + "." + strconv.Itoa(l.crashCount)
	next := maps.Clone(*l.current.Load())
	out := make([]membership.Notice, 0, len(runs))
	hasUnansweredRepeat := l.hasUnansweredRepeat(now, next, runs)
	for _, r := range runs {
		c := Crash{ID: id, AnsweredBefore: l.answeredBefore(now, next[r.fp], r.fp)}
		c.Conclusive = next.crashedBefore(now, r.fp) && !(c.AnsweredBefore && hasUnansweredRepeat)
		e := l.addCrash(now, next[r.fp], r, c)
		next[r.fp] = e
		l.announce(r.fp)
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

// answeredBefore reports whether the request was answered recently, here or at a node where it was
// in flight at an earlier crash.
func (l *List) answeredBefore(now time.Time, e *Entry, fp Fingerprint) bool {
	if l.answeredCache.within(now, fp, l.opt.AnsweredWindow) {
		return true
	}
	if e == nil || e.expired(now) {
		return false
	}
	return slices.ContainsFunc(e.Crashes, func(c Crash) bool { return c.AnsweredBefore })
}

// hasUnansweredRepeat reports whether a request without a recent answer was in flight at this crash
// and at an earlier one. It then accounts for both.
//
// This protects popular lookups. Some of them are in flight at two crashes close together, before
// an answer could clear them, and would be refused to all callers along with the bad request.
func (l *List) hasUnansweredRepeat(now time.Time, es entries, runs []run) bool {
	return slices.ContainsFunc(runs, func(r run) bool {
		return es.crashedBefore(now, r.fp) && !l.answeredBefore(now, es[r.fp], r.fp)
	})
}

// addCrash returns the entry of a request after one more crash.
func (l *List) addCrash(now time.Time, old *Entry, r run, c Crash) *Entry {
	e := &Entry{Fingerprint: r.fp}
	if old != nil && !old.expired(now) {
		e = old
	}
	e = e.withCrashes([]Crash{c}, nil)
	e.RequestLine = r.request.String()
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

// publish replaces the current entries with next, without expired ones and within MaxEntries. The
// caller holds mu.
func (l *List) publish(now time.Time, next entries) {
	maps.DeleteFunc(next, func(_ Fingerprint, e *Entry) bool { return e.expired(now) })
	if extra := len(next) - l.opt.MaxEntries; extra > 0 {
		for _, e := range slices.SortedFunc(maps.Values(next), evictionOrder)[:extra] {
			delete(next, e.Fingerprint)
		}
	}
	l.announced = slices.DeleteFunc(l.announced, func(fp Fingerprint) bool { return next[fp] == nil })
	l.current.Store(&next)
}

// evictionOrder orders entries for eviction: suspects first, then lifted, then quarantined ones,
// and by expiry within a kind.
func evictionOrder(a, b *Entry) int {
	if c := cmp.Compare(retentionRank(a.Kind), retentionRank(b.Kind)); c != 0 {
		return c
	}
	if c := a.Expires.Compare(b.Expires); c != 0 {
		return c
	}
	return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String())
}

func retentionRank(k Kind) int {
	switch k {
	case KindQuarantined:
		return 2
	case KindLifted:
		return 1
	}
	return 0
}

// Entries returns all entries in force, quarantined ones first, for handover.
func (l *List) Entries(now time.Time) []Entry {
	var out []Entry
	for _, e := range *l.current.Load() {
		if !e.expired(now) {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return evictionOrder(&b, &a) })
	return out
}

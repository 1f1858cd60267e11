package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/decisions"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/retry"
)

// EntryOptions are what an Entry is made of. Admitter and Suspects may be nil.
type EntryOptions struct {
	Self      string // this node's VM
	Programs  Programs
	Readiness Readiness // nil where the node is ready
	Admitter  Admitter
	Pickers   Pickers
	Retrier   Retrier
	Suspects  Suspects
	// Workspaces bounds the calls of workspaces; nil bounds none.
	Workspaces Workspaces
	Local      *Destination // of this VM; nil sends every call over a socket
	Upstreams  *Upstreams
	Meters     *Meters // of the calls that enter here; its own when nil
	Tracer     *Tracer
	Dialect    Dialect // marlpass's own when nil
	// Decisions takes a line for each decision that needs one; nil writes none.
	Decisions *decisions.Log
	// NoAttemptTimeout gives every attempt all of the call's time, where an endpoint that
	// is at work must not be given up. Connections that went silent are then
	// found by the kernel's probes alone.
	NoAttemptTimeout bool
	Now              func() time.Time // time.Now when nil
}

// Entry takes calls from callers and sends them to destination nodes.
type Entry struct {
	EntryOptions
	kept      bodyBudget
	returning returningCallers
	freeSlots freeSlotShares
}

// NewEntry returns an Entry.
func NewEntry(p EntryOptions) *Entry {
	if p.Now == nil {
		p.Now = time.Now
	}
	if p.Meters == nil {
		p.Meters = NewMeters()
	}
	if p.Dialect == nil {
		p.Dialect = ownDialect{}
	}
	return &Entry{EntryOptions: p}
}

// Public returns the handler for callers outside the mesh.
func (e *Entry) Public() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) })
}

// Internal returns the handler for the backend servers of this VM.
func (e *Entry) Internal() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) })
}

// entering is one call at its entry node.
type entryCall struct {
	r      *http.Request
	target *config.Target
	class  *ClassMeter
	body   body
	id     string // what the logs call it
	start  time.Time
	// asked is when the caller first asked, if it was refused here and came back.
	firstAttempt time.Time
	deadline     time.Time
	version      uint64 // of the configuration that matched it
	maxBody      int64  // bytes; zero for no bound
	tried        []string
	search       slotSearch // for a free slot
	// closed are the endpoints tried that take no calls.
	unavailable []string
	// pinned are the endpoints that refused a suspect as pinned to another.
	pinned        []string
	attempts      int // attempts made
	reached       int // attempts that a backend server got, or may have
	fp            quarantine.Fingerprint
	isolated      bool // to be run at one place at a time
	parentRetried bool // the call is part of one that is being retried
	// lost is why an attempt that may have run gave no answer, or nil.
	unknownErr error
	// workspace is the one whose quota the call counts against, or nil.
	workspace *config.Workspace
}

var entryCalls = sync.Pool{New: func() any { return new(entryCall) }}

// free gives c back for another call.
func (c *entryCall) free() {
	*c = entryCall{tried: c.tried[:0], search: slotSearch{rejected: c.search.rejected[:0]}, unavailable: c.unavailable[:0], pinned: c.pinned[:0]}
	entryCalls.Put(c)
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, internal bool) {
	c := entryCalls.Get().(*entryCall)
	defer c.free()
	c.r, c.start = r, e.Now()
	c.firstAttempt = c.start
	c.id = e.Dialect.CallID(r.Header)
	if e.Readiness != nil {
		e.Readiness.Await(r.Context())
	}
	if refusal := e.match(c, internal); refusal != nil {
		if refusal.Reason == call.ReasonTooLarge {
			// What is still to come of the body would be read as a next call.
			w.Header()["Connection"] = closeValue
		}
		e.refuse(w, c, refusal)
		return
	}
	var err error
	if c.body, err = prepareBody(w, r, &e.kept, c.deadline, c.maxBody); err != nil {
		e.refuse(w, c, refuseIncompleteBody(err))
		return
	}
	defer c.body.release()
	c.parentRetried = first(r.Header, retry.HeaderRetried) != ""
	dropHopByHop(r.Header)
	dropInternal(r.Header)
	addForwarded(r.Header, r.RemoteAddr)
	setExpect(c)
	ctx, span := e.Tracer.startRemote(r, "entry", c.target.Name)
	defer span.end()
	if refusal := e.checkSuspect(c); refusal != nil {
		e.refuse(w, c, refusal)
		return
	}
	c.firstAttempt = e.returning.firstAttempt(c.start, c.fp)
	e.Retrier.Called(c.target.Service)
	e.run(ctx, w, c, span)
}

// suspect finds out whether the request is one that crashes backend servers.
func (e *Entry) checkSuspect(c *entryCall) *call.Refusal {
	c.fp = fingerprintOf(c.r, c.r.Header, &c.body)
	if e.Suspects == nil {
		return nil
	}
	if refusal := e.Suspects.Blocked(c.start, c.fp); refusal != nil {
		return refusal
	}
	c.isolated = e.Suspects.Isolated(c.start, c.fp)
	return nil
}

// fingerprintOf recognises a request when it is sent again.
func fingerprintOf(r *http.Request, h http.Header, b *body) quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.Method, r.Host, r.URL.Path, r.URL.RawQuery, h, b.length, b.buffered)
}

// setExpect asks the destination node to say when it wants the body, if the
// body streams: a refusal then comes before any of it was read, and the call can
// go to another endpoint. A body that was read already needs no such word.
func setExpect(c *entryCall) {
	delete(c.r.Header, "Expect")
	if c.body.streams() {
		c.r.Header["Expect"] = expectValue
	}
}

var expectValue = []string{"100-continue"}

// match finds the call's class and deadline, and refuses what may not enter.
func (e *Entry) match(c *entryCall, internal bool) *call.Refusal {
	if wantsUpgrade(c.r) {
		return refuse(call.ReasonBadRequest, 0, "upgrades are not carried")
	}
	p := e.Programs.Program()
	c.version = p.Version.Number
	t, ok := p.Matcher.Match(c.r.Host, c.r.URL.Path, c.r.Method)
	if !ok {
		return e.unmatched(c)
	}
	if t.Internal() && !internal {
		return refuse(call.ReasonInternal, 0, "")
	}
	c.target = t
	c.class = e.Meters.Class(t)
	if p.MaxBody > 0 && c.r.ContentLength > p.MaxBody {
		return refuse(call.ReasonTooLarge, 0, "")
	}
	c.maxBody = p.MaxBody
	if e.Admitter != nil {
		if refusal := e.Admitter.Admit(c.start, t); refusal != nil {
			return refusal
		}
	}
	left, ok := e.Dialect.AcceptCall(c.r.Header, t)
	if !ok {
		return refuse(call.ReasonBadRequest, 0, "the deadline is not a number of milliseconds")
	}
	if left <= 0 {
		return refuse(call.ReasonExpired, 0, "")
	}
	c.deadline = c.start.Add(left)
	return e.authenticate(c, p.Keys)
}

// MayRunAhead reports whether a call may run before its caller's earlier calls on
// the same connection were answered: it must be one that may run twice.
func (e *Entry) MayRunAhead(r *http.Request) bool {
	t, ok := e.Programs.Program().Matcher.Match(r.Host, r.URL.Path, r.Method)
	return ok && t.Idempotent
}

// unmatched refuses a call that belongs to no class. A node that has just
// started holds no classes yet: its callers must come back, and not be told
// that there is no such route.
func (e *Entry) unmatched(c *entryCall) *call.Refusal {
	if e.Admitter != nil {
		if r := e.Admitter.Admit(c.start, nil); r != nil {
			return r
		}
	}
	return refuse(call.ReasonNoRoute, 0, "")
}

package proxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/budget"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/decisions"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/retry"
)

// EntryOptions are the dependencies and settings of an Entry. Admitter and Suspects may be nil.
type EntryOptions struct {
	Self      string // this node's VM
	Programs  Programs
	Readiness Readiness // nil if the node is ready from the start
	Admitter  Admitter
	Pickers   Pickers
	Retrier   Retrier
	Suspects  Suspects
	// Workspaces limits the calls of workspaces; nil means no limit.
	Workspaces Workspaces
	Local      *Destination // on this VM; nil sends every call over a socket
	Upstreams  *Upstreams
	// Memory bounds the request bodies that are kept for another attempt; nil means the default.
	Memory  *budget.Memory
	Meters  *Meters // of the calls received here; NewEntry creates them when nil
	Tracer  *Tracer
	Dialect Dialect // the native dialect when nil
	// Decisions logs decisions that operators need to see; nil logs none.
	Decisions *decisions.Log
	// NoAttemptTimeout gives every attempt all of the call's remaining time, for services
	// whose running calls must not be abandoned. Dead connections are then detected by the
	// kernel's keep-alive probes alone.
	NoAttemptTimeout bool
	Now              func() time.Time // time.Now when nil
}

// Entry receives calls from callers and forwards them to destination nodes.
type Entry struct {
	EntryOptions
	bodies    bodyBudget
	returning returningCallers
	freeSlots freeSlotShares
	// fastOffers are the shares of first offers that were not declined as slow. They are recorded
	// once an endpoint has declined a call (sawDeclined).
	fastOffers  freeSlotShares
	sawDeclined atomic.Bool
	advertised  advertisedMemory
}

// NewEntry returns an Entry and fills in the defaults of p.
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
	return &Entry{EntryOptions: p, bodies: bodyBudget{memory: p.Memory}}
}

// Public returns the handler for callers outside the mesh.
func (e *Entry) Public() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) })
}

// Internal returns the handler for the backend servers of this VM.
func (e *Entry) Internal() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) })
}

// entryCall is the state of one call at its entry node.
type entryCall struct {
	r      *http.Request
	target *config.Target
	class  *ClassMeter
	body   body
	id     string // of the call in the logs
	start  time.Time
	// firstAttempt is when the caller first sent the request, if this node refused it and the
	// caller is retrying; otherwise start.
	firstAttempt time.Time
	deadline     time.Time
	callerLeaves time.Time // when the caller stops waiting; zero if it didn't say
	version      uint64    // of the configuration that matched it
	maxBody      int64     // bytes; zero means no limit
	tried        []string
	search       slotSearch // for a free slot
	// unavailable are the tried endpoints that currently accept no calls.
	unavailable []string
	// pinned are the endpoints that refused the suspect request as pinned to another endpoint.
	pinned []string
	// rejectedAt are the VMs whose backend server may have rejected an attempt. It is kept for
	// calls that aren't idempotent only.
	rejectedAt    []string
	attempts      int // made so far
	reached       int // attempts that a backend server received or may have received
	fp            quarantine.Fingerprint
	isolated      bool // to be run at one endpoint at a time
	parentRetried bool // the call was made by a call that is being retried
	// inherited is parentRetried of calls from backend servers of this VM. Other callers could set
	// the header themselves.
	inherited     bool
	hasWorkspaces bool // the configuration has workspaces
	root          callRoot
	// unknownErr is the error of the last attempt that may have run without an answer, or nil.
	unknownErr error
	// quotaHolder is the workspace whose quota the call counts against, or nil, and workspace the same
	// once the call is counted.
	quotaHolder, workspace *config.Workspace
}

var entryCalls = sync.Pool{New: func() any { return new(entryCall) }}

// free resets c and returns it to the pool.
func (c *entryCall) free() {
	*c = entryCall{tried: c.tried[:0], search: slotSearch{rejected: c.search.rejected[:0]}, unavailable: c.unavailable[:0], pinned: c.pinned[:0], rejectedAt: c.rejectedAt[:0]}
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
			// The unread rest of the body would be parsed as the next request.
			w.Header()["Connection"] = closeValue
		}
		e.refuse(w, c, refusal)
		return
	}
	if !c.target.Idempotent && !awaitTurn(w) {
		panic(http.ErrAbortHandler)
	}
	var err error
	if c.body, err = prepareBody(w, r, &e.bodies, c.deadline, c.maxBody); err != nil {
		e.refuse(w, c, refuseIncompleteBody(err))
		return
	}
	defer c.body.release()
	c.parentRetried = first(r.Header, retry.HeaderRetried) != ""
	c.inherited = internal && c.parentRetried
	e.findRoot(c, internal)
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
	if refusal := e.admitWorkspace(c); refusal != nil {
		e.refuse(w, c, refusal)
		return
	}
	if refusal := e.recordCall(w, c); refusal != nil {
		e.refuse(w, c, refusal)
		return
	}
	e.run(ctx, w, c, span)
}

// checkSuspect refuses a request that is quarantined, and marks one suspected of crashing backend
// servers as isolated.
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

// fingerprintOf returns a fingerprint that is equal for retries of the same request.
func fingerprintOf(r *http.Request, h http.Header, b *body) quarantine.Fingerprint {
	return quarantine.NewFingerprint(r.Method, r.Host, rawPath(r.URL), r.URL.RawQuery, h, b.length, b.buffered)
}

// setExpect sets "Expect: 100-continue" for the destination node if the body is streamed. A refusal
// then arrives before any of the body is read, and the call can still go to another endpoint. A
// buffered body needs no Expect.
func setExpect(c *entryCall) {
	delete(c.r.Header, "Expect")
	if c.body.streams() {
		c.r.Header["Expect"] = expectValue
	}
}

var expectValue = []string{"100-continue"}

// match sets the call's class and deadline, and refuses calls that are not allowed here.
func (e *Entry) match(c *entryCall, internal bool) *call.Refusal {
	if wantsUpgrade(c.r) {
		return refuse(call.ReasonBadRequest, 0, "upgrades are not carried")
	}
	p := e.Programs.Program()
	c.version = p.Version.Number
	t, ok := p.Matcher.Match(c.r.Host, rawPath(c.r.URL), c.r.Method)
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
	bounds, ok := e.Dialect.AcceptCall(c.r.Header, t)
	if !ok {
		return refuse(call.ReasonBadRequest, 0, "the deadline is not a number of milliseconds")
	}
	if bounds.Left <= 0 {
		return refuse(call.ReasonExpired, 0, "")
	}
	c.deadline = c.start.Add(bounds.Left)
	if bounds.CallerWaits > 0 {
		c.callerLeaves = c.start.Add(bounds.CallerWaits)
	}
	c.hasWorkspaces = p.Keys != nil
	return e.authenticate(c, p.Keys)
}

// MayRunAhead reports whether a pipelined call may run before earlier calls on the same connection
// are answered. Only idempotent calls may.
func (e *Entry) MayRunAhead(r *http.Request) bool {
	t, ok := e.Programs.Program().Matcher.Match(r.Host, rawPath(r.URL), r.Method)
	return ok && t.Idempotent
}

// awaitTurn waits until the calls before a pipelined one are answered, and reports false if the call
// must not run any more because its connection ends. The configuration may have changed since
// MayRunAhead: a call that runs ahead and must run only once would run again when the caller, whose
// connection was closed by an earlier answer, sends it again as not read.
func awaitTurn(w http.ResponseWriter) bool {
	p, ok := w.(interface{ AwaitTurn() bool })
	return !ok || p.AwaitTurn()
}

// unmatched refuses a call that matches no class. A node that has just started has no classes yet:
// the Admitter then refuses the call as retryable, so that the caller isn't told that the route
// doesn't exist.
func (e *Entry) unmatched(c *entryCall) *call.Refusal {
	if e.Admitter != nil {
		if r := e.Admitter.Admit(c.start, nil); r != nil {
			return r
		}
	}
	return refuse(call.ReasonNoRoute, 0, "")
}

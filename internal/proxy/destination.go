package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/decisions"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/retry"
)

// DestinationParts are what a Destination is made of. Gates, Keeper and
// Suspects may be nil; then nothing is queued, claimed or quarantined.
type DestinationParts struct {
	Programs Programs
	Backends Backends
	Gates    Gates
	// SlotUse tells how a backend server's slots are used, for the logs; it may be
	// nil.
	SlotUse   func(Backend) SlotUse
	Keeper    Deduplicator
	Suspects  Suspects
	Rollouts  Rollouts // nil where versions make no difference
	Upstreams *Upstreams
	Meters    *Meters
	Tracer    *Tracer
	Dialect   Dialect // marlpass's own when nil
	// Spool, if set, takes answers in before they are passed on, and Link paces
	// those that go to other VMs.
	Spool *Spool
	Link  *Link
	// Decisions takes a line for each decision that needs one; nil writes none.
	Decisions *decisions.Log
	Now       func() time.Time // time.Now when nil
}

// Destination passes calls to the backend servers of its own VM.
type Destination struct {
	DestinationParts
	kept     keptBodies
	draining atomic.Bool
	inFlight atomic.Int64
	records  sync.WaitGroup // outcomes of claims being written
}

// NewDestination returns a Destination that takes calls.
func NewDestination(p DestinationParts) *Destination {
	if p.Now == nil {
		p.Now = time.Now
	}
	if p.Dialect == nil {
		p.Dialect = ownDialect{}
	}
	return &Destination{DestinationParts: p}
}

// Drain makes the Destination refuse new calls. Those that run go on.
func (d *Destination) Drain() { d.draining.Store(true) }

// InFlight returns how many calls are running.
func (d *Destination) InFlight() int64 { return d.inFlight.Load() }

// ServeHTTP takes a call from another node.
func (d *Destination) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := d.Now()
	h, ok := parseHop(first(r.Header, call.HeaderHop))
	if !ok || wantsUpgrade(r) {
		writeRefusal(w, refuse(call.ReasonBadRequest, 0, "not a call from a node"))
		return
	}
	in := inbounds.Get().(*inbound)
	defer in.free()
	var err error
	if in.own, err = takeBody(w, r, &d.kept, now.Add(h.left), 0); err != nil {
		writeRefusal(w, refuseBody(err))
		return
	}
	retried := r.Header[retry.HeaderRetried]
	h.settled = first(r.Header, headerSettled) != ""
	h.waited = parseWaited(r.Header)
	h.oneShot = first(r.Header, headerOnce) != ""
	h.noWait = first(r.Header, headerNoWait) != ""
	far := parseRate(r.Header)
	dropHopByHop(r.Header)
	dropInternal(r.Header)
	if retried != nil {
		r.Header[retry.HeaderRetried] = retried
	}
	ctx, span := d.Tracer.startRemote(r, "destination", h.class)
	defer span.end()
	in.r, in.header, in.body, in.hop, in.deadline = r, r.Header, &in.own, h, now.Add(h.left)
	a := d.doRemote(ctx, now, in)
	span.outcome(&a)
	in.own.answering(r, w.Header())
	defer d.Link.free(in.reserved)
	size := int64(-1)
	if a.resp != nil {
		size = a.resp.ContentLength
	}
	d.finish(d.Link.pace(ctx, w, d.target(in.hop), far, size), &a, &in.own)
}

// doRemote runs a call whose answer goes out over this VM's link.
func (d *Destination) doRemote(ctx context.Context, now time.Time, in *inbound) answer {
	expected, refusal := d.Link.expect(d.target(in.hop))
	if refusal != nil {
		d.logTurned(now, in, Backend{}, refusal)
		return answer{refusal: refusal}
	}
	a := d.do(ctx, now, in)
	if a.resp == nil {
		d.Link.free(expected)
		return a
	}
	in.reserved = d.Link.settle(in.hop.class, expected, max(a.resp.ContentLength, 0))
	return a
}

// finish writes the answer to the entry node.
func (d *Destination) finish(w http.ResponseWriter, a *answer, b *body) {
	switch {
	case a.refusal != nil:
		d.setLinkWait(w.Header())
		writeRefusal(w, a.refusal)
	case a.err != nil:
		w.Header()[headerUnknown] = []string{string(kindOf(a.err))}
		writeUnknown(w, a.err)
	default:
		w.Header()["Date"] = nil // the caller's own node sets it
		if load := d.loadAfter(a); load.Known {
			w.Header()[call.HeaderLoad] = loadValue(load)
		}
		d.setLinkWait(w.Header())
		w.Header()[headerTook] = []string{a.took.String()}
		p := d.pass(w, a)
		if p.partial || p.gone {
			b.abort()
		}
	}
}

// loadAfter returns the load of the backend server once this call has ended. Its gate
// knows of the calls that wait there, of which the backend server knows nothing; calls
// that were given up and run on are known to the backend server alone.
func (d *Destination) loadAfter(a *answer) Load {
	if d.SlotUse == nil || a.held == nil || a.held.replayed {
		return a.load
	}
	use := d.SlotUse(a.held.backend)
	busy := use.Busy + use.Waiting
	if a.held.permit != nil {
		busy-- // this call holds its slot until its answer is passed on
	}
	return Load{Busy: max(busy, a.load.Busy-1, 0), Slots: use.Limit, Known: use.Limit > 0}
}

// pass relays the answer and ends the holding.
func (d *Destination) pass(w http.ResponseWriter, a *answer) (p passed) {
	defer func() {
		a.resp.Body.Close()
		a.held.end(d, p)
		a.held.free()
	}()
	p.partial = true // should relay panic, as on a status that HTTP has not
	return relay(w, a.resp, a.held.keep(d.Now))
}

// inbound is a call as it reached the destination.
type inbound struct {
	r        *http.Request
	header   http.Header // may be changed
	body     *body
	own      body // what body points to when another node sent the call
	hop      hop
	deadline time.Time
	reserved int64 // of the link, for the answer
}

var inbounds = sync.Pool{New: func() any { return new(inbound) }}

// free gives in back for another call.
func (in *inbound) free() {
	in.own.release()
	*in = inbound{}
	inbounds.Put(in)
}

// do runs a call, or refuses it. When it returns a response, the caller must
// pass it on with relay, close its body, and end the holding.
func (d *Destination) do(ctx context.Context, now time.Time, in *inbound) answer {
	b, t, refusal := d.check(now, in)
	if refusal != nil {
		d.logTurned(now, in, b, refusal)
		return answer{refusal: refusal}
	}
	d.inFlight.Add(1)
	a := d.hold(ctx, now, in, b, t)
	if a.resp == nil {
		d.inFlight.Add(-1)
		if !a.noFreeSlot() {
			d.logEnd(now, in, b, &a)
		}
	}
	return a
}

// holding is what a call holds at its destination while it runs.
type holding struct {
	backend Backend
	target  *config.Target
	start   time.Time
	// answered is when the answer began; zero if there is none yet.
	answered time.Time
	// deadline is that of a call with a claim.
	deadline time.Time
	claim    Claim
	permit   Permit
	mark     quarantine.Token
	marked   bool
	status   int
	stored   *Stored // what to record for the claim
	// replayed says that the answer is the stored one of an earlier call.
	replayed bool
}

// hold claims, queues and sends the call, in this order: a claim is a write to
// the platform, and no slot may be held while the platform is slow.
func (d *Destination) hold(ctx context.Context, now time.Time, in *inbound, b Backend, t *config.Target) answer {
	h := newHolding(b, t, now)
	if a, done := d.claim(ctx, in, h); done {
		return a
	}
	refusal, err := d.enter(ctx, now, in, h)
	if err != nil {
		// The caller gave up before the call was sent on.
		refusal = refuse(call.ReasonExpired, 0, "the caller gave up")
	}
	if refusal != nil {
		h.abandon(d)
		h.free()
		return answer{refusal: refusal}
	}
	a := d.forward(ctx, in, h)
	a.took = took{wait: h.start.Sub(now), run: d.Now().Sub(h.start)}
	if a.resp == nil {
		h.failed(d, &a)
		h.free()
	}
	return a
}

// began and ended tell the rollouts of a call that is sent to a backend server.
func (d *Destination) began(now time.Time, h *holding) *call.Refusal {
	if d.Rollouts == nil {
		return nil
	}
	return d.Rollouts.Begin(now, h.backend.Instance)
}

func (d *Destination) ended(at time.Time, h *holding, failed bool) {
	if d.Rollouts != nil {
		d.Rollouts.Ended(at, h.backend.Instance, h.target.Name, at.Sub(h.start), failed)
	}
}

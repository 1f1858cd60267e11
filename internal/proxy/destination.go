package proxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marlpass/marlpass/internal/budget"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/completion"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/decisions"
	"github.com/marlpass/marlpass/internal/lineage"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/retry"
)

// DestinationOptions holds the settings and dependencies of a Destination. Gates, Deduplicator and
// Suspects may be nil; the Destination then does not queue, claim or quarantine calls. Without
// Advertisements it ignores what backend servers advertise.
type DestinationOptions struct {
	Programs Programs
	Backends Backends
	Gates    Gates
	// SlotUse returns the slot usage of a backend server, for load reports and logs; nil means
	// unknown.
	SlotUse        func(Backend) SlotUse
	Advertisements Advertisements
	Deduplicator   Deduplicator
	Suspects       Suspects
	Rollouts       Rollouts // nil if no rollouts are managed
	// Lineage holds the running calls of this VM's backend servers; nil if roots are not tracked.
	Lineage   *lineage.Tracker
	Upstreams *Upstreams
	Meters    *Meters
	Tracer    *Tracer
	Dialect   Dialect // ownDialect if nil
	// Spool, if set, buffers whole answers before they are relayed. Link paces answers to other
	// VMs.
	Spool *Spool
	Link  *LinkPacer
	// Memory bounds the request bodies that are kept for another attempt; nil means the default.
	Memory *budget.Memory
	// Decisions receives a log line for each refusal, failure or long wait; nil disables these
	// lines.
	Decisions *decisions.Log
	Now       func() time.Time // time.Now if nil
}

// Destination forwards calls to the backend servers of its own VM.
type Destination struct {
	DestinationOptions
	bodies        bodyBudget
	draining      atomic.Bool
	inFlight      atomic.Int64
	outcomeWrites sync.WaitGroup // pending writes of claim outcomes
	completion    completion.Servers
}

// NewDestination returns a Destination that accepts calls.
func NewDestination(p DestinationOptions) *Destination {
	if p.Now == nil {
		p.Now = time.Now
	}
	if p.Dialect == nil {
		p.Dialect = ownDialect{}
	}
	return &Destination{DestinationOptions: p, bodies: bodyBudget{memory: p.Memory}}
}

// Drain makes the Destination refuse new calls. Running calls continue.
func (d *Destination) Drain() { d.draining.Store(true) }

// InFlight returns the number of running calls.
func (d *Destination) InFlight() int64 { return d.inFlight.Load() }

// ServeHTTP implements http.Handler for calls from other nodes.
func (d *Destination) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := d.Now()
	h, ok := parseHop(first(r.Header, call.HeaderHop))
	if !ok || wantsUpgrade(r) {
		writeNodeRefusal(w, refuse(call.ReasonBadRequest, 0, "not a call from a node"))
		return
	}
	in := inbounds.Get().(*inbound)
	defer in.free()
	var err error
	if in.ownBody, err = prepareBody(w, r, &d.bodies, now.Add(h.left), 0); err != nil {
		writeNodeRefusal(w, refuseIncompleteBody(err))
		return
	}
	retried := r.Header[retry.HeaderRetried]
	h.settled = first(r.Header, headerSettled) != ""
	h.waited = parseWaited(r.Header)
	h.oneShot = first(r.Header, headerOnce) != ""
	h.noWait, h.mayDecline = parseNoWait(r.Header)
	h.newConn = first(r.Header, headerNewConn) != ""
	in.advertised = parseNodeAdvertised(r.Header)
	in.root = parseRoot(now, first(r.Header, headerRoot))
	remoteMbps := parseLinkRate(r.Header)
	dropHopByHop(r.Header)
	dropInternal(r.Header)
	if retried != nil {
		r.Header[retry.HeaderRetried] = retried
	}
	ctx, span := d.Tracer.startRemote(r, "destination", h.class)
	defer span.end()
	in.r, in.header, in.body, in.hop, in.deadline = r, r.Header, &in.ownBody, h, now.Add(h.left)
	a := d.doRemote(ctx, now, in)
	span.outcome(&a)
	in.ownBody.closeUnlessRead(r, w.Header())
	defer d.Link.free(in.linkBytes)
	size := int64(-1)
	if a.resp != nil {
		size = a.resp.ContentLength
	}
	d.writeAnswer(d.Link.pace(ctx, w, d.target(in.hop), remoteMbps, size), &a, &in.ownBody)
}

// doRemote runs a call from another node, with room reserved on this VM's link for its answer.
func (d *Destination) doRemote(ctx context.Context, now time.Time, in *inbound) answer {
	expected, refusal := d.Link.reserve(d.target(in.hop))
	if refusal != nil {
		d.logRefusal(now, in, Backend{}, refusal)
		return answer{refusal: refusal}
	}
	a := d.do(ctx, now, in)
	if a.resp == nil {
		d.Link.free(expected)
		return a
	}
	in.linkBytes = d.Link.adjust(in.hop.class, expected, max(a.resp.ContentLength, 0))
	return a
}

// writeAnswer writes the answer, refusal or unknown outcome to the entry node.
func (d *Destination) writeAnswer(w http.ResponseWriter, a *answer, b *body) {
	if a.advertised.any() {
		w.Header()[headerAdvertised] = []string{a.advertised.String()}
	}
	setExpectedRun(w.Header(), a.expectedRun)
	switch {
	case a.refusal != nil:
		d.setLinkWait(w.Header())
		a.setSlotsFree(w.Header())
		writeNodeRefusal(w, a.refusal)
	case a.err != nil:
		w.Header()[headerUnknown] = []string{string(unknownKindOf(a.err))}
		writeUnknown(w, a.err)
	default:
		w.Header()["Date"] = nil // set by the entry node
		if load := d.loadAfter(a); load.Known {
			w.Header()[call.HeaderLoad] = loadValue(load)
		}
		d.setLinkWait(w.Header())
		w.Header()[headerTook] = []string{a.took.String()}
		p := d.relayAnswer(w, a)
		if p.partial || p.readerGone {
			b.abort()
		}
	}
}

// loadAfter returns the load of the backend server after this call. It combines two sources: only
// the gate counts calls that wait for a slot, and only the backend server counts calls that were
// abandoned but still run.
func (d *Destination) loadAfter(a *answer) Load {
	if d.SlotUse == nil || a.held == nil || a.held.replayed {
		return a.load
	}
	use := d.SlotUse(a.held.backend)
	busy := use.Busy + use.Waiting
	if a.held.permit != nil {
		busy-- // the slot is released once the answer is relayed
	}
	if use.AtRateLimit {
		busy = max(busy, use.Limit)
	}
	return Load{Busy: max(busy, a.load.Busy-1, 0), Slots: use.Limit, Known: use.Limit > 0}
}

// relayAnswer relays the answer and ends the execution.
func (d *Destination) relayAnswer(w http.ResponseWriter, a *answer) (p relayResult) {
	defer func() {
		a.resp.Body.Close()
		a.held.end(d, p)
		a.held.free()
	}()
	p.partial = true // holds if relay panics, as on an invalid HTTP status
	return relay(w, a.resp, a.held.captureBody(d.Now))
}

// inbound is a call received by the destination.
type inbound struct {
	r         *http.Request
	header    http.Header // may be modified
	body      *body
	ownBody   body // storage for body if another node sent the call
	hop       hop
	deadline  time.Time
	linkBytes int64 // reserved on the link for the answer
	// advertised is what the entry node last heard of the backend server.
	advertised Advertised
	root       callRoot
}

var inbounds = sync.Pool{New: func() any { return new(inbound) }}

// free returns in to the pool.
func (in *inbound) free() {
	in.ownBody.release()
	*in = inbound{}
	inbounds.Put(in)
}

// do runs a call or refuses it. When it returns a response, the caller must relay it, close its
// body and end the execution.
func (d *Destination) do(ctx context.Context, now time.Time, in *inbound) answer {
	b, t, refusal := d.admit(now, in)
	if refusal != nil {
		d.logRefusal(now, in, b, refusal)
		return answer{refusal: refusal, advertised: d.advertisedBy(b)}
	}
	if declined, ok := d.declineSlow(now, in, b, t); ok {
		return declined
	}
	d.inFlight.Add(1)
	a := d.execute(ctx, now, in, b, t)
	a.expectedRun = d.expectedRun(b, t)
	a.advertised = d.advertisedBy(b)
	if a.resp == nil {
		d.inFlight.Add(-1)
		if !a.noFreeSlot() {
			d.logFailure(now, in, b, &a)
		}
	}
	return a
}

// advertisedBy returns what a backend server advertises.
func (d *Destination) advertisedBy(b Backend) Advertised {
	if d.Advertisements == nil || b.Instance == "" {
		return Advertised{}
	}
	return d.Advertisements.InForce(b)
}

// execution is the state of a call at its destination: the slot, claim and suspect token that it
// holds while it runs.
type execution struct {
	backend Backend
	target  *config.Target
	start   time.Time
	// answeredAt is when the answer began; zero before that.
	answeredAt time.Time
	// deadline is set for calls with a claim only.
	deadline       time.Time
	claim          Claim
	permit         Permit
	suspectToken   quarantine.Token
	suspectStarted bool
	lineage        *lineage.Tracker // nil unless the call runs and is tracked
	lineageToken   lineage.Token
	status         int
	stored         *Stored // the answer to store for the claim
	// replayed is set if the answer is the stored answer of an earlier call.
	replayed bool
}

// execute claims, queues and forwards the call, in this order: a claim is a write to the platform,
// and no slot may be held while the platform is slow.
func (d *Destination) execute(ctx context.Context, now time.Time, in *inbound, b Backend, t *config.Target) answer {
	h := newExecution(b, t, now)
	if a, done := d.claim(ctx, in, h); done {
		return a
	}
	refusal, err := d.acquire(ctx, now, in, h)
	if err != nil {
		// The caller left before the call was forwarded.
		refusal = refuse(call.ReasonExpired, 0, "the caller gave up")
	}
	if refusal != nil {
		h.abandon(d)
		h.free()
		return answer{refusal: refusal}
	}
	a := d.forward(ctx, in, h)
	a.took = destinationTimes{wait: h.start.Sub(now), run: d.Now().Sub(h.start)}
	if a.resp == nil {
		h.endUnanswered(d, &a)
		h.free()
	}
	return a
}

// rolloutBegin reports a call that is about to be sent to a backend server. A refusal means that
// the rollout does not allow it.
func (d *Destination) rolloutBegin(now time.Time, h *execution) *call.Refusal {
	if d.Rollouts == nil {
		return nil
	}
	return d.Rollouts.Begin(now, h.backend.Instance)
}

// rolloutEnded reports the end of a call that was sent to a backend server.
func (d *Destination) rolloutEnded(at time.Time, h *execution, failed bool) {
	if d.Rollouts != nil {
		d.Rollouts.Ended(at, h.backend.Instance, h.target.Name, at.Sub(h.start), failed)
	}
}

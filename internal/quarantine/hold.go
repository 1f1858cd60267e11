package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxHolds bounds the broken calls that an entry node remembers.
const maxHolds = 1024

// hold is a request whose calls broke at this entry node.
type hold struct {
	endpoints [2]string // where it broke; the second is empty at first
	until     time.Time
}

// holds keeps an entry node from sending a broken call to one endpoint after
// another before the destination nodes have told whether it crashed them. It is
// read on each call's path, where hardly ever a hold is in force.
type holds struct {
	until atomic.Int64 // Unix nanoseconds of the last hold's end, or zero
	mu    sync.Mutex
	byFP  map[Fingerprint]*hold
}

func (h *holds) note(now time.Time, fp Fingerprint, endpoint string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byFP == nil {
		h.byFP = map[Fingerprint]*hold{}
	}
	for k, v := range h.byFP {
		if !now.Before(v.until) {
			delete(h.byFP, k)
		}
	}
	old := h.byFP[fp]
	switch {
	case old == nil && len(h.byFP) >= maxHolds:
	case old == nil:
		h.byFP[fp] = &hold{endpoints: [2]string{endpoint}, until: now.Add(d)}
	default:
		old.until = now.Add(d)
		if old.endpoints[0] != endpoint {
			old.endpoints[1] = endpoint
		}
	}
	h.until.Store(max(h.until.Load(), now.Add(d).UnixNano()))
}

// active reports whether a hold may be in force. It goes by time alone, so that
// it turns false when the last hold ends, and not at the next break.
func (h *holds) active(now time.Time) bool { return now.UnixNano() < h.until.Load() }

func (h *holds) get(now time.Time, fp Fingerprint) (hold, bool) {
	if !h.active(now) {
		return hold{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.byFP[fp]
	if v == nil || !now.Before(v.until) {
		return hold{}, false
	}
	return *v, true
}

func (h *holds) isolated(now time.Time, fp Fingerprint) bool {
	_, ok := h.get(now, fp)
	return ok
}

func (h *holds) crashedAt(now time.Time, fp Fingerprint) []string {
	v, ok := h.get(now, fp)
	if !ok {
		return nil
	}
	return v.endpoints[:1]
}

func (h *holds) blocked(now time.Time, fp Fingerprint) (time.Time, bool) {
	v, ok := h.get(now, fp)
	return v.until, ok && v.endpoints[1] != ""
}

func (h *holds) drop(fp Fingerprint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byFP, fp)
	if len(h.byFP) == 0 {
		h.until.Store(0)
	}
}

// Broke notes at the entry node that a call broke at an endpoint, given as
// VM/backend server: it may have
// crashed it. Until the destination node tells, a resend runs isolated, and one
// that broke at two endpoints is held back for a moment. A request that this
// node had an answer to lately is passed over.
func (l *List) Broke(now time.Time, fp Fingerprint, endpoint string) {
	if l.answered.within(now, fp, l.opt.AnsweredWindow) {
		return
	}
	l.held.note(now, fp, endpoint, l.opt.HoldFor)
}

// Answered notes at the entry node that a call was answered.
func (l *List) Answered(now time.Time, fp Fingerprint) {
	l.answered.note(now, fp)
	if l.held.active(now) {
		l.held.drop(fp)
	}
}

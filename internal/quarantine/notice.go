package quarantine

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// liftedByAnswer is the LiftedBy of an entry that an answer cleared.
const liftedByAnswer = "answered"

// ErrNotListed means that an operator named a request that is neither suspected nor quarantined.
var ErrNotListed = errors.New("no such request is suspected or quarantined")

func (e *Entry) notice() membership.Notice {
	return membership.Notice{
		Kind:    string(e.Kind),
		ID:      e.Fingerprint.String(),
		Detail:  e.detail(),
		Expires: e.Expires.UnixMilli(),
	}
}

// announce adds the entry to those in this node's membership record. The caller holds mu.
func (l *List) announce(fp Fingerprint) {
	if slices.Contains(l.announced, fp) {
		return
	}
	l.announced = append(l.announced, fp)
}

// Notices returns the notices about entries found at this node, for its membership record.
func (l *List) Notices(now time.Time) []membership.Notice {
	l.mu.Lock()
	announced := slices.Clone(l.announced)
	l.mu.Unlock()
	m := *l.current.Load()
	var listed []*Entry
	for _, fp := range announced {
		if e := m[fp]; e != nil && !e.expired(now) {
			listed = append(listed, e)
		}
	}
	slices.SortFunc(listed, announceOrder)
	listed = listed[:min(len(listed), l.opt.MaxNotices)]
	out := make([]membership.Notice, 0, len(listed))
	for _, e := range listed {
		out = append(out, e.notice())
	}
	return out
}

// announceOrder orders entries by priority in the membership record: entries lifted by an operator,
// then as Entries does.
//
// Lifts come first, since at a node with as many quarantined requests as its record can hold, a
// lift would otherwise never be announced, and the other nodes would go on refusing the request.
func announceOrder(a, b *Entry) int {
	if x, y := a.liftedByOperator(), b.liftedByOperator(); x != y {
		if x {
			return -1
		}
		return 1
	}
	return evictionOrder(b, a)
}

// MergeNotices merges the notices of another node. It ignores notices of other packages and
// malformed ones. Merging is idempotent and commutative.
func (l *List) MergeNotices(now time.Time, from string, ns []membership.Notice) {
	if from == l.opt.Self || len(ns) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := *l.current.Load()
	next := entries(nil)
	for _, n := range ns {
		received := l.parseNotice(now, n)
		if received == nil {
			continue
		}
		known := old[received.Fingerprint]
		if next != nil {
			known = next[received.Fingerprint]
		}
		e := mergeEntries(now, known, received)
		if e == known {
			continue
		}
		if next == nil {
			next = maps.Clone(old)
		}
		next[e.Fingerprint] = e
	}
	if next != nil {
		l.publish(now, next)
	}
}

// parseNotice returns the entry of a notice, or nil. The expiry is bounded by this node's clock, so
// that another node's wrong clock can't extend it.
func (l *List) parseNotice(now time.Time, n membership.Notice) *Entry {
	k := Kind(n.Kind)
	if k != KindSuspect && k != KindQuarantined && k != KindLifted {
		return nil
	}
	fp, err := ParseFingerprint(n.ID)
	if err != nil {
		return nil
	}
	var d detail
	if json.Unmarshal([]byte(n.Detail), &d) != nil {
		return nil
	}
	e := (&Entry{Fingerprint: fp, RequestLine: d.RequestLine, LiftedBy: d.LiftedBy}).withCrashes(d.Crashes, d.Lifted)
	e.Expires = time.UnixMilli(n.Expires)
	if last := now.Add(l.lifetime(e.Kind)); e.Expires.After(last) {
		e.Expires = last
	}
	if e.expired(now) {
		return nil
	}
	return e
}

// mergeEntries merges two entries for one request; it returns known itself if received adds
// nothing. Lifts remove single crashes regardless of time, so the result does not depend on whose
// clock is ahead.
func mergeEntries(now time.Time, known, received *Entry) *Entry {
	if known == nil || known.expired(now) {
		return received
	}
	e := known.withCrashes(received.Crashes, received.Lifted)
	if e.sameCrashes(known) {
		return known
	}
	if received.Expires.After(e.Expires) {
		e.Expires = received.Expires
	}
	if e.Kind == KindLifted && received.LiftedBy != "" {
		e.LiftedBy = received.LiftedBy
	}
	return e
}

// Lift lets a request run again by an operator's order. The crashes so far no longer count, and the
// notice spreads to the other nodes. The error is ErrNotListed if the request is neither suspected
// nor quarantined.
func (l *List) Lift(now time.Time, fp Fingerprint, by string) error {
	if e := l.lookup(now, fp); e == nil || e.Kind == KindLifted {
		return ErrNotListed
	}
	l.clear(now, fp, by)
	l.entryHolds.drop(fp)
	return nil
}

func (l *List) clear(now time.Time, fp Fingerprint, by string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(*l.current.Load())
	e := next[fp]
	if e == nil || e.Kind == KindLifted {
		return
	}
	if e.Kind == KindQuarantined && by == liftedByAnswer {
		// A run that began before the quarantine doesn't end it: two crashes outweigh one answer.
		return
	}
	lifted := e.withCrashes(nil, e.shortCrashIDs())
	lifted.LiftedBy = by
	lifted.Expires = now.Add(l.lifetime(KindLifted))
	next[fp] = lifted
	l.announce(fp)
	l.publish(now, next)
}

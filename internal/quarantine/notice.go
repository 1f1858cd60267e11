package quarantine

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// byAnswer is the LiftedBy of an entry that an answer cleared.
const byAnswer = "answered"

// ErrNotListed means that an operator named a request that is not held.
var ErrNotListed = errors.New("no such request is suspected or quarantined")

func (e *Entry) notice() membership.Notice {
	return membership.Notice{
		Kind:    string(e.Kind),
		ID:      e.Fingerprint.String(),
		Detail:  e.detail(),
		Expires: e.Expires.UnixMilli(),
	}
}

// claim makes the entry one that this node tells of. The caller holds mu.
func (l *List) claim(fp Fingerprint) {
	if slices.Contains(l.own, fp) {
		return
	}
	l.own = append(l.own, fp)
}

// Notices returns the facts found at this node, for its membership record.
func (l *List) Notices(now time.Time) []membership.Notice {
	l.mu.Lock()
	own := slices.Clone(l.own)
	l.mu.Unlock()
	m := *l.current.Load()
	var held []*Entry
	for _, fp := range own {
		if e := m[fp]; e != nil && !e.expired(now) {
			held = append(held, e)
		}
	}
	slices.SortFunc(held, tellFirst)
	held = held[:min(len(held), l.opt.MaxNotices)]
	out := make([]membership.Notice, 0, len(held))
	for _, e := range held {
		out = append(out, e.notice())
	}
	return out
}

// tellFirst orders entries by what other nodes must hear most: what operators
// lifted, then as Entries does.
//
// It guards against a lift that never takes hold: at a node with as many
// quarantined requests as its record has room for, every lift would come too
// late in the order to be told, and the others would go on refusing the request.
func tellFirst(a, b *Entry) int {
	if x, y := a.liftedByOperator(), b.liftedByOperator(); x != y {
		if x {
			return -1
		}
		return 1
	}
	return dropFirst(b, a)
}

// MergeNotices takes in what another node tells. Notices of other packages are
// passed over, and so are those that can't be read. Merging the same notice
// again, or notices in another order, changes nothing.
func (l *List) MergeNotices(now time.Time, from string, ns []membership.Notice) {
	if from == l.opt.Self || len(ns) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := *l.current.Load()
	next := entries(nil)
	for _, n := range ns {
		told := l.read(now, n)
		if told == nil {
			continue
		}
		held := old[told.Fingerprint]
		if next != nil {
			held = next[told.Fingerprint]
		}
		e := combine(now, held, told)
		if e == held {
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

// read returns the entry that a notice tells of, or nil. The expiry of another
// node's clock is bounded by our own, so that a wrong clock can't make it last.
func (l *List) read(now time.Time, n membership.Notice) *Entry {
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
	e := (&Entry{Fingerprint: fp, RequestLine: d.RequestLine, LiftedBy: d.LiftedBy}).with(d.Crashes, d.Lifted)
	e.Expires = time.UnixMilli(n.Expires)
	if last := now.Add(l.lifetime(e.Kind)); e.Expires.After(last) {
		e.Expires = last
	}
	if e.expired(now) {
		return nil
	}
	return e
}

// combine returns what two entries for one request come to; it returns held
// itself when told adds nothing. Lifts take off single crashes and don't go by
// time, so two clocks don't decide which came later.
func combine(now time.Time, held, told *Entry) *Entry {
	if held == nil || held.expired(now) {
		return told
	}
	e := held.with(told.Crashes, told.Lifted)
	if e.same(held) {
		return held
	}
	if told.Expires.After(e.Expires) {
		e.Expires = told.Expires
	}
	if e.Kind == KindLifted && told.LiftedBy != "" {
		e.LiftedBy = told.LiftedBy
	}
	return e
}

// Lift lets a request run again, by the operator's order. The crashes counted
// so far no longer count; the notice spreads to the other nodes.
func (l *List) Lift(now time.Time, fp Fingerprint, by string) error {
	if e := l.lookup(now, fp); e == nil || e.Kind == KindLifted {
		return ErrNotListed
	}
	l.clear(now, fp, by)
	l.held.drop(fp)
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
	if e.Kind == KindQuarantined && by == byAnswer {
		// A run that began before the quarantine doesn't end it: two
		// crashes weigh more than one answer.
		return
	}
	lifted := e.with(nil, e.lifts())
	lifted.LiftedBy = by
	lifted.Expires = now.Add(l.lifetime(KindLifted))
	next[fp] = lifted
	l.claim(fp)
	l.publish(now, next)
}

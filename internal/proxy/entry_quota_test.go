package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

// refusingQuotas refuses every call as over its quota, and records the calls.
type refusingQuotas struct{ calls []QuotaCall }

func (*refusingQuotas) CheckKeys(time.Time) *call.Refusal { return nil }

func (q *refusingQuotas) Admit(_ context.Context, _ time.Time, c QuotaCall) *call.Refusal {
	q.calls = append(q.calls, c)
	return &call.Refusal{Reason: call.ReasonOverQuota, RetryAfter: time.Second}
}

func (*refusingQuotas) Refund(time.Time, *config.Workspace) {}

// Guards against a caller who returns after a refusal over the quota and is not recognised: its call
// would take the place of one that can still be in time.
func TestReturningCallerOverTheQuotaIsOverdue(t *testing.T) {
	target := bookings()
	target.AnswerWithinMS = 20
	m := newMesh(t, target, func(http.ResponseWriter, *http.Request) {})
	m.entry.Programs = keyedProgram{singleClass{target}, keyring(t)}
	q := new(refusingQuotas)
	m.entry.Workspaces = q
	for range 2 {
		resp, _, err := m.call("POST", "/launch", "x", headerAuthorization, "Bearer "+harbourKey)
		if err != nil || resp.StatusCode != http.StatusTooManyRequests {
			t.Fatalf("%v %v", resp, err)
		}
		time.Sleep(2 * target.AnswerWithin())
	}
	if len(q.calls) != 2 || q.calls[0].Overdue || !q.calls[1].Overdue {
		t.Errorf("quota calls %+v, want the second one overdue", q.calls)
	}
	if got := q.calls[0].MaxWait; got != target.AnswerWithin()/maxQuotaWaitShare {
		t.Errorf("the call may wait %v", got)
	}
}

// Guards against a class that is rated as one whose callers never retry, because callers over their
// quota were told to return later than they wait.
func TestRefusalsOverTheQuotaDoNotRateTheClass(t *testing.T) {
	var r returningCallers
	target := &config.Target{Name: "lookups", TimeoutMS: 600}
	for i := range byte(4 * returnsWindow) {
		now := refusedAt.Add(time.Duration(i) * 100 * time.Millisecond)
		c := newRefusedCall(i, target)
		c.deadline = now.Add(target.Timeout() / 2)
		r.recordRefusal(now, c, &call.Refusal{Reason: call.ReasonOverQuota, RetryAfter: time.Second})
	}
	if r.oneShot("lookups") {
		t.Error("the class is rated one-shot by refusals over the quota")
	}
}

// Guards against a call that waits for its quota until its deadline has passed.
func TestQuotaWaitIsBoundedByTheDeadline(t *testing.T) {
	now := time.Unix(1e6, 0)
	for _, c := range []struct{ left, target, want time.Duration }{
		{time.Second, 400 * time.Millisecond, 100 * time.Millisecond},
		{80 * time.Millisecond, 400 * time.Millisecond, 20 * time.Millisecond},
		{80 * time.Millisecond, 0, 20 * time.Millisecond},
		{-time.Millisecond, 0, 0},
	} {
		call := &entryCall{deadline: now.Add(c.left), target: &config.Target{AnswerWithinMS: c.target.Milliseconds()}}
		if got := call.maxQuotaWait(now); got != c.want {
			t.Errorf("waits %v with %v left and a target of %v, want %v", got, c.left, c.target, c.want)
		}
	}
}

package once

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/config"
)

var background = context.Background()

func request(rule config.OnStoreDown) Request {
	return Request{
		Service: "berths", Key: "a/b", Fingerprint: [32]byte{1},
		StoreDown: rule, Deadline: time.Now().Add(5 * time.Second),
	}
}

func node(t *faulty, name string) *Deduplicator { return New(Options{Table: t, Holder: name}) }

func reasonOf(t *testing.T, err error) call.Reason {
	t.Helper()
	var r *call.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("got %v, want a refusal", err)
	}
	return r.Reason
}

func mustRun(t *testing.T, d *Deduplicator, r Request) *Claim {
	t.Helper()
	b, err := d.Begin(background, r)
	if err != nil || b.Run == nil {
		t.Fatalf("Begin = %+v, %v; want a run", b, err)
	}
	return b.Run
}

func mustReplay(t *testing.T, d *Deduplicator, r Request, body string) {
	t.Helper()
	b, err := d.Begin(background, r)
	if err != nil || b.Replay == nil || string(b.Replay.Body) != body {
		t.Fatalf("Begin = %+v, %v; want the outcome %q", b, err, body)
	}
}

func mustUnknown(t *testing.T, d *Deduplicator, r Request) {
	t.Helper()
	b, err := d.Begin(background, r)
	if err != nil || !b.Unknown {
		t.Fatalf("Begin = %+v, %v; want unknown", b, err)
	}
}

func bubble(t *testing.T, f func(t *testing.T, table *faulty)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t, newFaulty())
		time.Sleep(time.Minute) // lets transactions under way end
	})
}

// An owner books a haul-out, loses the answer and books again with the same
// key. The second sending reaches another node while the first still runs. It
// must wait and get the first booking, not make another.
func TestResendAtAnotherNodeGetsFirstOutcome(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		c := mustRun(t, node(table, "vm1"), request(""))
		go func() {
			time.Sleep(time.Second)
			_ = c.Finish(background, StoredOutcome{Status: 201, Body: []byte("berth 7")})
		}()
		mustReplay(t, node(table, "vm2"), request(""), "berth 7")
	})
}

// The same resend reaches the same node. It must join without the platform.
func TestResendAtSameNodeJoins(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		d := node(table, "vm1")
		c := mustRun(t, d, request(""))
		table.set(faultOutage)
		go func() {
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(background, time.Second)
			defer cancel()
			_ = c.Finish(ctx, StoredOutcome{Status: 201, Body: []byte("berth 7")})
		}()
		mustReplay(t, d, request(""), "berth 7")
	})
}

// A caller uses one key for two bookings. The second must be refused, at the
// node that runs the first and at any other.
func TestOtherBodyUnderSameKeyIsRefused(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		d := node(table, "vm1")
		mustRun(t, d, request(""))
		other := request("")
		other.Fingerprint = [32]byte{2}
		for _, n := range []*Deduplicator{d, node(table, "vm2")} {
			_, err := n.Begin(background, other)
			if got := reasonOf(t, err); got != call.ReasonKeyReused {
				t.Errorf("refused as %q", got)
			}
		}
	})
}

// The platform takes the claim but its answer is lost. The claimant must find
// out that the row is its own and run, not tell the caller that it is unknown.
func TestLostAnswerOfClaimIsSettled(t *testing.T) {
	for _, kind := range []faultKind{faultLostAnswer, faultLateWrite} {
		bubble(t, func(t *testing.T, table *faulty) {
			table.set(kind)
			time.AfterFunc(100*time.Millisecond, func() { table.set(faultNone) })
			c := mustRun(t, node(table, "vm1"), request(""))
			if err := c.Finish(background, StoredOutcome{Status: 201, Body: []byte("once")}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(lateBy)
			mustReplay(t, node(table, "vm2"), request(""), "once")
		})
	}
}

// A claimant dies with its VM while the booking runs. Its resends must be told
// that the outcome is unknown, however long after, and never run it.
func TestDeadClaimantMeansUnknown(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		c := mustRun(t, node(table, "vm1"), request(""))
		if err := c.Started(background); err != nil {
			t.Fatal(err)
		}
		mustUnknown(t, node(table, "vm2"), request(""))
		time.Sleep(time.Hour)
		mustUnknown(t, node(table, "vm2"), request(""))
	})
}

// A backend server dies while it runs a booking. Resends, at this node and at
// others, must be told at once that the outcome is unknown and never run it;
// under the local guard too, where this node's memory is all there is.
func TestLostRunMeansUnknownAtOnce(t *testing.T) {
	for _, kind := range []faultKind{faultNone, faultOutage} {
		bubble(t, func(t *testing.T, table *faulty) {
			table.set(kind)
			d := node(table, "vm1")
			if err := mustRun(t, d, request(config.OnStoreDownLocalGuard)).Lost(background); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			mustUnknown(t, d, request(config.OnStoreDownLocalGuard))
			if kind == faultNone {
				mustUnknown(t, node(table, "vm2"), request(""))
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("told after %v", took)
			}
		})
	}
}

// A claimant is paused for longer than its lease between its claim and the
// run. Its resend has been told "unknown" and the clerk has looked and entered
// the price anew. When the claimant wakes, it must not run the request.
func TestPausedClaimantDoesNotRun(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		c := mustRun(t, node(table, "vm1"), request(""))
		time.Sleep(DefaultLease)
		mustUnknown(t, node(table, "vm2"), request(""))
		if got := reasonOf(t, c.Started(background)); got != call.ReasonExpired {
			t.Errorf("refused as %q", got)
		}
	})
}

// The backend server refuses a booking without running it. The claim is given
// up, and the resend must run; also when the platform did not take the removal
// and the resend reaches the same node.
func TestAbandonedClaimMayRunAgain(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		d := node(table, "vm1")
		if err := mustRun(t, d, request("")).Abandon(background); err != nil {
			t.Fatal(err)
		}
		c := mustRun(t, node(table, "vm2"), request(""))
		if err := c.Abandon(background); err != nil {
			t.Fatal(err)
		}
		c = mustRun(t, d, request(""))
		table.set(faultOutage)
		if err := c.Abandon(background); err == nil {
			t.Fatal("Abandon succeeded in an outage")
		}
		table.set(faultNone)
		mustUnknownSoon := request("")
		mustUnknown(t, node(table, "vm2"), mustUnknownSoon)
		mustRun(t, d, request(""))
	})
}

// The platform is down. A class that refuses must be told so at once; one that
// waits must get its claim when the platform is back within the deadline, and
// a refusal as not run when it is not.
func TestRulesWhenPlatformIsDown(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		table.set(faultOutage)
		start := time.Now()
		_, err := node(table, "vm1").Begin(background, request(config.OnStoreDownRefuse))
		if got := reasonOf(t, err); got != call.ReasonStoreDown {
			t.Errorf("refused as %q", got)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("refused after %v, want at once", took)
		}
		_, err = node(table, "vm1").Begin(background, request(config.OnStoreDownWait))
		if got := reasonOf(t, err); got != call.ReasonStoreDown {
			t.Errorf("refused as %q", got)
		}
		time.AfterFunc(3*time.Second, func() { table.set(faultNone) })
		mustRun(t, node(table, "vm1"), request(config.OnStoreDownWait))
	})
}

// Under the local guard a booking runs while the platform is down. A resend at
// the same node must get its outcome, before and after the platform is back,
// and after Flush so must one at another node.
func TestLocalGuard(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		table.set(faultOutage)
		d := node(table, "vm1")
		c := mustRun(t, d, request(config.OnStoreDownLocalGuard))
		ctx, cancel := context.WithTimeout(background, time.Second)
		defer cancel()
		if err := c.Finish(ctx, StoredOutcome{Status: 201, Body: []byte("berth 7")}); err == nil {
			t.Fatal("Finish succeeded in an outage")
		}
		mustReplay(t, d, request(config.OnStoreDownLocalGuard), "berth 7")
		table.set(faultNone)
		mustReplay(t, d, request(config.OnStoreDownLocalGuard), "berth 7")
		if err := d.Flush(background); err != nil {
			t.Fatal(err)
		}
		mustReplay(t, node(table, "vm2"), request(""), "berth 7")
		if got := d.Stats().LocalKeys; got != 0 {
			t.Errorf("%d guards held after Flush", got)
		}
	})
}

// A booking under the local guard runs and is recorded. Then the platform goes
// down, and the booking is sent again to the same node, which can't read the
// row. It must give the outcome from memory, not run the booking again.
func TestGuardRemembersRecordedRuns(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		d := node(table, "vm1")
		c := mustRun(t, d, request(config.OnStoreDownLocalGuard))
		if err := c.Finish(background, StoredOutcome{Status: 201, Body: []byte("berth 7")}); err != nil {
			t.Fatal(err)
		}
		table.set(faultOutage)
		mustReplay(t, d, request(config.OnStoreDownLocalGuard), "berth 7")
	})
}

// The platform takes no writes but can be read. A resend under the local guard
// reaches another node than the first, which has the outcome stored. It must
// get that outcome; running it would be a double.
func TestGuardLooksBeforeItRuns(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		c := mustRun(t, node(table, "vm1"), request(""))
		if err := c.Finish(background, StoredOutcome{Status: 201, Body: []byte("berth 7")}); err != nil {
			t.Fatal(err)
		}
		table.set(faultWritesOnly)
		mustReplay(t, node(table, "vm2"), request(config.OnStoreDownLocalGuard), "berth 7")
	})
}

func TestLargeBodyIsNotStored(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		c := mustRun(t, node(table, "vm1"), request(""))
		if err := c.Finish(background, StoredOutcome{Status: 200, Body: make([]byte, DefaultMaxBody+1)}); err != nil {
			t.Fatal(err)
		}
		b, err := node(table, "vm2").Begin(background, request(""))
		if err != nil || b.Replay == nil || !b.Replay.Truncated || b.Replay.Body != nil {
			t.Errorf("Begin = %+v, %v; want a truncated outcome", b, err)
		}
	})
}

func TestTrimRemovesOldRowsInSteps(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		d := node(table, "vm1")
		for _, key := range []string{"1", "2", "3", "4", "5"} {
			r := request("")
			r.Key = key
			mustRun(t, d, r)
			if key == "3" {
				time.Sleep(DefaultRetention)
			}
		}
		after, removed, steps := "", 0, 0
		for {
			next, n, err := d.Trim(background, after, 2)
			if err != nil {
				t.Fatal(err)
			}
			removed += n
			steps++
			if next == "" {
				break
			}
			after = next
		}
		if removed != 3 || steps != 3 {
			t.Errorf("removed %d in %d steps, want 3 in 3", removed, steps)
		}
	})
}

// The platform is slow and its answers are lost. A clerk's submission is
// refused as "store-down", and so is its resend; neither ran. The first claim
// shows after the second was given up. The clerk sends again when the platform
// is back, and the submission must run, not be called unknown for a day.
func TestEveryGivenUpClaimIsRemembered(t *testing.T) {
	bubble(t, func(t *testing.T, table *faulty) {
		table.set(faultLateWrite)
		d := node(table, "vm1")
		for range 2 {
			r := request(config.OnStoreDownRefuse)
			r.Deadline = time.Now().Add(lateBy / 3)
			_, err := d.Begin(background, r)
			if got := reasonOf(t, err); got != call.ReasonStoreDown {
				t.Fatalf("refused as %q", got)
			}
		}
		time.Sleep(time.Second)
		table.set(faultNone)
		if err := d.Flush(background); err != nil {
			t.Fatal(err)
		}
		mustRun(t, d, request(config.OnStoreDownRefuse))
	})
}

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

func newNode(t *faultyTable, name string) *Deduplicator { return New(Options{Table: t, Holder: name}) }

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

func withFaultyTable(t *testing.T, f func(t *testing.T, table *faultyTable)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f(t, newFaultyTable())
		time.Sleep(time.Minute) // lets transactions in flight end
	})
}

// Guards against a second run: a request is resent to another node while the first sending still
// runs. The resend must wait for the first outcome.
func TestResendAtAnotherNodeGetsFirstOutcome(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		c := mustRun(t, newNode(table, "vm1"), request(""))
		go func() {
			time.Sleep(time.Second)
			_ = c.Finish(background, StoredOutcome{Status: 201, Body: []byte("berth 7")})
		}()
		mustReplay(t, newNode(table, "vm2"), request(""), "berth 7")
	})
}

// As above at the same node: the resend must join the run without the platform.
func TestResendAtSameNodeJoins(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		d := newNode(table, "vm1")
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

// Guards against one key for two different requests: the second must be refused, at the node that
// runs the first and at any other.
func TestKeyReuseWithOtherBodyIsRefused(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		d := newNode(table, "vm1")
		mustRun(t, d, request(""))
		other := request("")
		other.Fingerprint = [32]byte{2}
		for _, n := range []*Deduplicator{d, newNode(table, "vm2")} {
			_, err := n.Begin(background, other)
			if got := reasonOf(t, err); got != call.ReasonKeyReused {
				t.Errorf("refused as %q", got)
			}
		}
	})
}

// The platform commits the claim, but its response is lost. The claimant must recognise its own
// row and run the request instead of answering "unknown".
func TestLostCommitResponseIsResolved(t *testing.T) {
	for _, kind := range []faultKind{faultLostResponse, faultLateWrite} {
		withFaultyTable(t, func(t *testing.T, table *faultyTable) {
			table.set(kind)
			time.AfterFunc(100*time.Millisecond, func() { table.set(faultNone) })
			c := mustRun(t, newNode(table, "vm1"), request(""))
			if err := c.Finish(background, StoredOutcome{Status: 201, Body: []byte("once")}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(lateBy)
			mustReplay(t, newNode(table, "vm2"), request(""), "once")
		})
	}
}

// A claimant crashes with its VM during the run. Resends must get "unknown", however late, and
// must never run the request.
func TestCrashedClaimantMeansUnknown(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		c := mustRun(t, newNode(table, "vm1"), request(""))
		if err := c.Started(background); err != nil {
			t.Fatal(err)
		}
		mustUnknown(t, newNode(table, "vm2"), request(""))
		time.Sleep(time.Hour)
		mustUnknown(t, newNode(table, "vm2"), request(""))
	})
}

// A backend server crashes during the run. Resends must get "unknown" at once, on every node, and
// never run the request; under a local guard too, where only this node's memory has the run.
func TestLostRunMeansUnknownAtOnce(t *testing.T) {
	for _, kind := range []faultKind{faultNone, faultOutage} {
		withFaultyTable(t, func(t *testing.T, table *faultyTable) {
			table.set(kind)
			d := newNode(table, "vm1")
			if err := mustRun(t, d, request(config.OnStoreDownLocalGuard)).Lost(background); err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			mustUnknown(t, d, request(config.OnStoreDownLocalGuard))
			if kind == faultNone {
				mustUnknown(t, newNode(table, "vm2"), request(""))
			}
			if took := time.Since(start); took > time.Second {
				t.Errorf("got unknown after %v", took)
			}
		})
	}
}

// A claimant is paused past its lease between the claim and the run, and its resend got
// "unknown". When it resumes, it must not run the request.
func TestPausedClaimantDoesNotRun(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		c := mustRun(t, newNode(table, "vm1"), request(""))
		time.Sleep(DefaultLease)
		mustUnknown(t, newNode(table, "vm2"), request(""))
		if got := reasonOf(t, c.Started(background)); got != call.ReasonExpired {
			t.Errorf("refused as %q", got)
		}
	})
}

// The backend server refuses a request without running it, and the claim is abandoned. The resend
// must run, also if the platform rejected the removal and the resend reaches the same node.
func TestAbandonedClaimMayRunAgain(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		d := newNode(table, "vm1")
		if err := mustRun(t, d, request("")).Abandon(background); err != nil {
			t.Fatal(err)
		}
		c := mustRun(t, newNode(table, "vm2"), request(""))
		if err := c.Abandon(background); err != nil {
			t.Fatal(err)
		}
		c = mustRun(t, d, request(""))
		table.set(faultOutage)
		if err := c.Abandon(background); err == nil {
			t.Fatal("Abandon succeeded in an outage")
		}
		table.set(faultNone)
		resend := request("")
		mustUnknown(t, newNode(table, "vm2"), resend)
		mustRun(t, d, request(""))
	})
}

// The platform is down. A class that refuses must be refused at once; one that waits must get its
// claim if the platform returns within the deadline, else a refusal as not run.
func TestRulesWhenPlatformIsDown(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		table.set(faultOutage)
		start := time.Now()
		_, err := newNode(table, "vm1").Begin(background, request(config.OnStoreDownRefuse))
		if got := reasonOf(t, err); got != call.ReasonStoreDown {
			t.Errorf("refused as %q", got)
		}
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("refused after %v, want at once", took)
		}
		_, err = newNode(table, "vm1").Begin(background, request(config.OnStoreDownWait))
		if got := reasonOf(t, err); got != call.ReasonStoreDown {
			t.Errorf("refused as %q", got)
		}
		time.AfterFunc(3*time.Second, func() { table.set(faultNone) })
		mustRun(t, newNode(table, "vm1"), request(config.OnStoreDownWait))
	})
}

// A request runs under the local guard while the platform is down. A resend to the same node must
// get its outcome, before and after the platform returns; after Flush, so must one to another
// node.
func TestLocalGuard(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		table.set(faultOutage)
		d := newNode(table, "vm1")
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
		mustReplay(t, newNode(table, "vm2"), request(""), "berth 7")
		if got := d.Stats().LocalKeys; got != 0 {
			t.Errorf("%d local keys left after Flush", got)
		}
	})
}

// Guards against a second run: a request under the local guard is recorded, the platform goes
// down, and a resend reaches the same node, which cannot read the row. It must return the outcome
// from memory.
func TestLocalGuardRemembersRecordedRuns(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		d := newNode(table, "vm1")
		c := mustRun(t, d, request(config.OnStoreDownLocalGuard))
		if err := c.Finish(background, StoredOutcome{Status: 201, Body: []byte("berth 7")}); err != nil {
			t.Fatal(err)
		}
		table.set(faultOutage)
		mustReplay(t, d, request(config.OnStoreDownLocalGuard), "berth 7")
	})
}

// Guards against a second run: the platform rejects writes but can be read, and a resend under
// the local guard reaches a node other than the first. It must get the stored outcome.
func TestLocalGuardReadsBeforeRunning(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		c := mustRun(t, newNode(table, "vm1"), request(""))
		if err := c.Finish(background, StoredOutcome{Status: 201, Body: []byte("berth 7")}); err != nil {
			t.Fatal(err)
		}
		table.set(faultWritesOnly)
		mustReplay(t, newNode(table, "vm2"), request(config.OnStoreDownLocalGuard), "berth 7")
	})
}

func TestLargeBodyIsNotStored(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		c := mustRun(t, newNode(table, "vm1"), request(""))
		if err := c.Finish(background, StoredOutcome{Status: 200, Body: make([]byte, DefaultMaxBody+1)}); err != nil {
			t.Fatal(err)
		}
		b, err := newNode(table, "vm2").Begin(background, request(""))
		if err != nil || b.Replay == nil || !b.Replay.Truncated || b.Replay.Body != nil {
			t.Errorf("Begin = %+v, %v; want a truncated outcome", b, err)
		}
	})
}

func TestTrimRemovesOldRowsInSteps(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		d := newNode(table, "vm1")
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

// Guards against "unknown" for a request that never ran: it and its resend are refused as
// "store-down" while responses are lost, and the first claim's row appears after the second claim
// was abandoned. A later resend must run.
func TestEveryAbandonedClaimIsRemembered(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		table.set(faultLateWrite)
		d := newNode(table, "vm1")
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

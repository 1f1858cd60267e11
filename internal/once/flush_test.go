package once

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// Guards against lost outcomes: after an outage, a planned stop begins while a node still holds
// many locally guarded outcomes. They were stored one by one, each after its own linger time, so
// most were lost with the VM and their resends ran a second time at other nodes.
func TestFlushSharesTransactions(t *testing.T) {
	const requests = 300
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		table.set(faultOutage)
		d := newNode(table, "vm1")
		keyed := func(i int) Request {
			r := request(config.OnStoreDownLocalGuard)
			r.Key = strconv.Itoa(i)
			return r
		}
		ended, cancel := context.WithCancel(background)
		cancel()
		for i := range requests {
			if err := mustRun(t, d, keyed(i)).Finish(ended, StoredOutcome{Status: 201, Body: []byte("berth")}); err == nil {
				t.Fatal("stored in an outage")
			}
		}
		table.set(faultNone)
		before := table.writes()
		ctx, cancel := context.WithTimeout(background, 5*time.Second)
		defer cancel()
		if err := d.Flush(ctx); err != nil {
			t.Errorf("Flush: %v", err)
		}
		after := table.writes()
		other := newNode(table, "vm2")
		for i := range requests {
			mustReplay(t, other, keyed(i), "berth")
		}
		t.Logf("%d transactions for %d requests", after-before, requests)
		if after-before >= requests {
			t.Error("outcomes shared no transactions")
		}
	})
}

// Guards against a blocked maintenance loop: while the platform is down, Flush must return,
// because its caller has other work.
func TestFlushEndsInAnOutage(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		table.set(faultOutage)
		d := newNode(table, "vm1")
		c := mustRun(t, d, request(config.OnStoreDownLocalGuard))
		ended, cancel := context.WithCancel(background)
		cancel()
		_ = c.Finish(ended, StoredOutcome{Status: 201})
		watchdog, stop := context.WithTimeout(background, time.Hour)
		defer stop()
		if err := d.Flush(watchdog); err == nil || watchdog.Err() != nil {
			t.Errorf("Flush: %v, watchdog expired: %v", err, watchdog.Err() != nil)
		}
	})
}

// readCounter counts the reads of a table.
type readCounter struct {
	platform.Table
	reads int
}

func (c *readCounter) Get(ctx context.Context, key string) (platform.Row, error) {
	c.reads++
	return c.Table.Get(ctx, key)
}

// Guards against read load after an outage: with thousands of abandoned claims, every node read
// each of them every two seconds for ten minutes, more than the platform can answer.
func TestAbandonedClaimsAreReadRarely(t *testing.T) {
	withFaultyTable(t, func(t *testing.T, table *faultyTable) {
		c := &readCounter{Table: table}
		d := New(Options{Table: c, Holder: "vm1"})
		if err := mustRun(t, d, request("")).Abandon(background); err != nil {
			t.Fatal(err)
		}
		c.reads = 0
		for range abandonedRetention / (2 * time.Second) {
			time.Sleep(2 * time.Second)
			if err := d.Flush(background); err != nil {
				t.Fatal(err)
			}
		}
		t.Logf("%d reads", c.reads)
		if c.reads < 2 || c.reads > 20 {
			t.Errorf("%d reads, want a few", c.reads)
		}
	})
}

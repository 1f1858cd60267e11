package node

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/lease"
	"github.com/marlpass/marlpass/internal/rollout"
	"github.com/marlpass/marlpass/internal/telemetry"
	"github.com/marlpass/marlpass/internal/wait"
)

const (
	rolloutLeaseLength   = 3 * time.Second // held by the node that coordinates a rollout
	rolloutRenewInterval = time.Second
	// rolloutContendInterval is the mean time between two attempts to acquire a lease that
	// another node holds, and rolloutFirstDelay the mean time before the first: all feeders
	// receive an order at the same time.
	rolloutContendInterval = 1500 * time.Millisecond
	rolloutFirstDelay      = 400 * time.Millisecond
	// instructTimeout bounds a request to a node, and instructConcurrency the number of
	// concurrent requests.
	instructTimeout     = 400 * time.Millisecond
	instructConcurrency = 48
	// verdictRetryTime is how long a verdict is resent to nodes that have not answered. After
	// that they read it from the table.
	verdictRetryTime = 8 * time.Second
)

// rolloutCoordinators coordinates the rollouts that operators order. It runs at the nodes that
// read the orders; for each rollout one of them holds a lease.
type rolloutCoordinators struct {
	n   *Node
	log zerolog.Logger
}

func newRolloutCoordinators(n *Node) *rolloutCoordinators {
	return &rolloutCoordinators{n: n, log: telemetry.Part(n.log, "rollout")}
}

// run starts a coordinator for each order received, until ctx ends. A newer order for a service
// stops the coordinator of the previous one.
func (c *rolloutCoordinators) run(ctx context.Context) {
	if c.n.o.Orders == nil {
		<-ctx.Done()
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	cancels := make(map[string]context.CancelFunc)
	revisions := make(map[string]uint64)
	for {
		for service, o := range c.n.o.Inbox.All() {
			if o.Revision <= revisions[service] {
				continue
			}
			if stop := cancels[service]; stop != nil {
				stop()
			}
			orderCtx, stop := context.WithCancel(ctx)
			cancels[service], revisions[service] = stop, o.Revision
			wg.Go(func() { c.contend(orderCtx, o, time.Now()) })
		}
		select {
		case <-ctx.Done():
			return
		case <-c.n.o.Inbox.Changed():
		}
	}
}

// contend tries to acquire the lease on a rollout, and coordinates it while it holds the lease,
// until the rollout is over.
func (c *rolloutCoordinators) contend(ctx context.Context, o rollout.Order, receivedAt time.Time) {
	if err := o.Check(); err != nil {
		c.log.Error().Str("service", o.Service).Err(err).Msg("rollout: invalid order")
		return
	}
	contender := lease.New(c.n.control.table, lease.Options{
		Name: "rollout-" + o.Service, Holder: c.n.self.ID + "/" + rand.Text(), Length: rolloutLeaseLength,
	})
	pause := jitter(rolloutFirstDelay)
	for wait.For(ctx, pause) == nil {
		pause = jitter(rolloutContendInterval)
		record, _, err := loadRecord(ctx, c.n.control.table, o.Service)
		if err == nil && (record.Order > o.Revision || record.Order == o.Revision && record.Phase.Final()) {
			return
		}
		acquired, err := contender.Acquire(ctx)
		if errors.Is(err, lease.ErrHeld) {
			continue
		}
		if err != nil {
			c.log.Warn().Str("service", o.Service).Err(err).Msg("rollout: the lease can't be acquired")
			continue
		}
		r := &leasedRollout{rolloutCoordinators: c, order: o, lease: acquired, receivedAt: receivedAt}
		done := r.coordinate(ctx)
		c.release(acquired)
		if done {
			return
		}
	}
}

func (c *rolloutCoordinators) release(l *lease.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), instructTimeout)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		c.log.Info().Err(err).Msg("rollout: the lease was not released, it will expire")
	}
}

// leasedRollout is a rollout that this node coordinates under its lease.
type leasedRollout struct {
	*rolloutCoordinators
	order       rollout.Order
	lease       *lease.Lease
	receivedAt  time.Time
	revision    uint64 // of the record's row
	coordinator *rollout.Coordinator
	finalAt     time.Time // when the verdict was written
	renewedAt   time.Time
	disturbed   bool // Status.Disturbed at the last log line
}

// settings returns the settings of a coordinator under the configuration in force.
func (c *rolloutCoordinators) settings() rollout.Settings {
	set := rollout.Defaults()
	var longest time.Duration
	for _, t := range c.n.store.Load().Snapshot.Targets() {
		if t.Timeout() == 0 {
			return set // a call of this class may take any time
		}
		longest = max(longest, t.Timeout())
	}
	if longest > 0 {
		set.CallTimeout = longest + closeDelay
	}
	return set
}

// coordinate runs the rollout until it is over or the lease is lost, and reports whether it is
// over.
func (r *leasedRollout) coordinate(ctx context.Context) bool {
	if !r.resume(ctx) {
		return false
	}
	for {
		now := time.Now()
		if !r.renew(ctx, now) {
			return false
		}
		r.coordinator.SetServers(now, r.servers())
		next, changed := r.coordinator.Step(now)
		r.logStatus()
		if changed && !r.write(ctx, next) {
			return false
		}
		r.sendMessages(ctx, r.coordinator.Messages())
		if !r.finalAt.IsZero() && (r.coordinator.FinalAcknowledged() || now.Sub(r.finalAt) > verdictRetryTime) {
			return true
		}
		if wait.For(ctx, max(0, rollout.Defaults().Tick-time.Since(now))) != nil {
			return false
		}
	}
}

// resume continues from the stored record of the rollout. It reports whether the record could be
// read, and written where the order is new.
func (r *leasedRollout) resume(ctx context.Context) bool {
	record, revision, err := loadRecord(ctx, r.n.control.table, r.order.Service)
	if err != nil {
		r.log.Warn().Str("service", r.order.Service).Err(err).Msg("rollout: the record can't be read")
		return false
	}
	now := time.Now()
	r.revision = revision
	r.coordinator = rollout.NewCoordinator(r.settings(), now, r.order, record, r.lease.Token(), r.elapsed(now, record))
	r.log.Info().Str("service", r.order.Service).Str("target", r.order.Target).Uint64("token", r.lease.Token()).
		Str("phase", string(r.coordinator.Record().Phase)).Dur("left", r.coordinator.TimeLeft(now)).Msg("rollout: this node conducts it")
	if record.Order == r.order.Revision {
		return true
	}
	return r.write(ctx, r.coordinator.Record())
}

// elapsed returns the time since the order. The start time that an earlier coordinator recorded
// takes precedence, unless it is inconsistent with this node's clock.
func (r *leasedRollout) elapsed(now time.Time, record rollout.Record) time.Duration {
	sinceReceived := now.Sub(r.receivedAt)
	if record.Order != r.order.Revision {
		return sinceReceived
	}
	sinceRecorded := now.Sub(time.UnixMilli(record.Started))
	if sinceRecorded < sinceReceived || sinceRecorded > r.order.TimeLimit {
		return sinceReceived
	}
	return sinceRecorded
}

func (r *leasedRollout) renew(ctx context.Context, now time.Time) bool {
	if now.Sub(r.renewedAt) >= rolloutRenewInterval {
		ctx, cancel := context.WithTimeout(ctx, instructTimeout)
		err := r.lease.Renew(ctx)
		cancel()
		if err == nil {
			r.renewedAt = now
		} else {
			r.log.Warn().Str("service", r.order.Service).Err(err).Msg("rollout: the lease was not renewed")
		}
	}
	return r.lease.Valid()
}

// write stores a record together with the status that operators read, and reports whether it
// is stored.
//
// The write is conditional on the lease and on the row's known revision: a write whose answer
// was lost may still take effect, and must not overwrite later ones.
func (r *leasedRollout) write(ctx context.Context, record rollout.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, rolloutReadTimeout)
	defer cancel()
	key := rollout.RecordKey(r.order.Service)
	err := r.n.control.table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{r.lease.Condition(), {Key: key, Revision: r.revision}},
		Writes: []platform.Write{
			{Key: key, Value: record.Encode()},
			r.n.o.Orders.Status(r.order.Service, record),
		},
	})
	if err == nil || errors.Is(err, platform.ErrUnknown) {
		err = r.readBack(ctx, record)
	}
	r.log.Info().Str("service", r.order.Service).Str("target", record.Target).Str("phase", string(record.Phase)).
		Str("reason", record.Reason).Dur("left", r.coordinator.TimeLeft(time.Now())).Err(err).Msg("rollout: step")
	if err != nil {
		return false
	}
	r.coordinator.RecordWritten(record)
	if record.Phase.Final() {
		r.finalAt = time.Now()
	}
	return true
}

// logStatus logs when the comparison of the versions stops or goes on.
func (r *leasedRollout) logStatus() {
	s := r.coordinator.Status()
	if s.Disturbed == r.disturbed {
		return
	}
	r.disturbed = s.Disturbed
	r.log.Info().Str("service", r.order.Service).Str("target", r.order.Target).Bool("disturbed", s.Disturbed).
		Int("sampled", s.Sampled).Int("late", s.Late).Int("lost", s.Lost).Int("restarted", s.Restarted).
		Uint32("compared", s.Compared).Uint32("unexamined", s.Unexamined).Uint64("token", r.lease.Token()).
		Msg("rollout: whether the versions are compared has changed")
}

var errNotWritten = errors.New("node: the record of the rollout was not written")

// readBack reads the revision of the written row. It returns errNotWritten if the row holds
// another order or phase.
func (r *leasedRollout) readBack(ctx context.Context, record rollout.Record) error {
	found, revision, err := loadRecord(ctx, r.n.control.table, r.order.Service)
	switch {
	case err != nil:
		return err
	case found.Order != record.Order || found.Phase != record.Phase:
		return errNotWritten
	}
	r.revision = revision
	return nil
}

// servers returns the servers of the service in this node's view.
func (r *leasedRollout) servers() []rollout.Server {
	var out []rollout.Server
	for id, record := range r.n.views.Load().Records {
		for _, b := range record.Backends {
			if b.Service != r.order.Service {
				continue
			}
			out = append(out, rollout.Server{
				VM: id, Instance: b.Instance, Version: b.Version,
				Reachable: record.State != membership.VMSuspect,
				Draining:  b.State == membership.BackendDraining || record.State == membership.VMLeaving,
				Closed:    b.State == membership.BackendStarting,
			})
		}
	}
	return out
}

// sendMessages sends messages to their nodes and passes the answers to the coordinator.
func (r *leasedRollout) sendMessages(ctx context.Context, messages []rollout.Message) {
	view := r.n.views.Load()
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, instructConcurrency)
	for _, m := range messages {
		record := view.Records[m.VM]
		if record == nil {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			reports, err := r.instruct(ctx, record, m)
			if err != nil {
				r.log.Warn().Str("peer", m.VM).Err(err).Msg("rollout: a node does not answer")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			r.coordinator.RecordReports(time.Now(), m.VM, reports)
		})
	}
	wg.Wait()
}

// instruct sends an instruction to the node of a VM, which may be this node.
func (r *leasedRollout) instruct(ctx context.Context, to *membership.ObservedRecord, m rollout.Message) ([]rollout.ServerReport, error) {
	q := encodeInstruction(m.Instruction)
	if m.VM == r.n.self.ID {
		return decodeServerReports(m.VM, r.n.rollouts.Instruct(q)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, instructTimeout)
	defer cancel()
	list, err := r.n.control.peers.Rollout(ctx, m.VM, to.VM.ControlAddr, q)
	return decodeServerReports(m.VM, list), err
}

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
	rolloutLeaseLength   = 3 * time.Second // of the node that conducts a rollout
	rolloutRenewInterval = time.Second
	// rolloutContendInterval is the time between two looks at a lease that another holds, and
	// rolloutFirst the longest before the first: all feeders hear of an order at once.
	rolloutContendInterval = 1500 * time.Millisecond
	rolloutFirstDelay      = 400 * time.Millisecond
	// instructTimeout bounds an exchange with a node, and tellWidth those at once.
	instructTimeout     = 400 * time.Millisecond
	instructConcurrency = 16
	// verdictRetryTime is for how long nodes that haven't answered are told of a verdict. Later
	// they learn it from the table.
	verdictRetryTime = 8 * time.Second
)

// rolloutConductors carries out the rollouts that operators order, at the nodes that read their
// orders. For each rollout one of them holds the lease.
type rolloutConductors struct {
	n   *Node
	log zerolog.Logger
	set rollout.Settings
}

func newRolloutConductors(n *Node) *rolloutConductors {
	return &rolloutConductors{n: n, log: telemetry.Part(n.log, "rollout"), set: rollout.Defaults()}
}

// run starts a coordinator for each order that comes in, until ctx ends.
func (c *rolloutConductors) run(ctx context.Context) {
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

// contend contends for the lease on a rollout until it is over.
func (c *rolloutConductors) contend(ctx context.Context, o rollout.Order, receivedAt time.Time) {
	if err := o.Check(); err != nil {
		c.log.Error().Str("service", o.Service).Err(err).Msg("rollout: refuse an order")
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
		held, err := contender.Acquire(ctx)
		if errors.Is(err, lease.ErrHeld) {
			continue
		}
		if err != nil {
			c.log.Warn().Str("service", o.Service).Err(err).Msg("rollout: the lease can't be taken")
			continue
		}
		r := &leasedRollout{rolloutConductors: c, order: o, lease: held, receivedAt: receivedAt}
		over := r.conduct(ctx)
		c.release(held)
		if over {
			return
		}
	}
}

func (c *rolloutConductors) release(l *lease.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), instructTimeout)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		c.log.Info().Err(err).Msg("rollout: the lease was not given back, it runs out")
	}
}

// leasedRollout is a rollout under this node's lease.
type leasedRollout struct {
	*rolloutConductors
	order      rollout.Order
	lease      *lease.Lease
	receivedAt time.Time
	revision   uint64 // of the record's row
	conductor  *rollout.Coordinator
	finalAt    time.Time // when the verdict was written
	renewedAt  time.Time
}

// conduct decides until the rollout is over, or the lease is lost. It reports whether it is
// over.
func (r *leasedRollout) conduct(ctx context.Context) bool {
	if !r.resume(ctx) {
		return false
	}
	for {
		now := time.Now()
		if !r.renew(ctx, now) {
			return false
		}
		r.conductor.SetServers(r.servers())
		if next, changed := r.conductor.Step(now); changed && !r.write(ctx, next) {
			return false
		}
		r.sendMessages(ctx, r.conductor.Messages())
		if !r.finalAt.IsZero() && (r.conductor.FinalAcknowledged() || now.Sub(r.finalAt) > verdictRetryTime) {
			return true
		}
		if wait.For(ctx, max(0, r.set.Tick-time.Since(now))) != nil {
			return false
		}
	}
}

// resume goes on from what lasts of the rollout.
func (r *leasedRollout) resume(ctx context.Context) bool {
	record, revision, err := loadRecord(ctx, r.n.control.table, r.order.Service)
	if err != nil {
		r.log.Warn().Str("service", r.order.Service).Err(err).Msg("rollout: the record can't be read")
		return false
	}
	now := time.Now()
	r.revision = revision
	r.conductor = rollout.NewCoordinator(r.set, now, r.order, record, r.lease.Token(), r.elapsed(now, record))
	r.log.Info().Str("service", r.order.Service).Str("target", r.order.Target).Uint64("token", r.lease.Token()).
		Str("phase", string(r.conductor.Record().Phase)).Dur("left", r.conductor.TimeLeft(now)).Msg("rollout: this node conducts it")
	if record.Order == r.order.Revision {
		return true
	}
	return r.write(ctx, r.conductor.Record())
}

// elapsed returns the time since the order. Where an earlier coordinator has noted when it
// heard of it, that counts, as long as the clocks of the two can be right.
func (r *leasedRollout) elapsed(now time.Time, record rollout.Record) time.Duration {
	own := now.Sub(r.receivedAt)
	if record.Order != r.order.Revision {
		return own
	}
	noted := now.Sub(time.UnixMilli(record.Started))
	if noted < own || noted > r.order.TimeLimit {
		return own
	}
	return noted
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

// write makes a record lasting, with what operators read of it, and reports whether it is.
//
// It holds only while the lease does and the row is the one that this node knows: a write
// whose answer was lost may still be carried out, and must not undo what followed.
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
		Str("reason", record.Reason).Dur("left", r.conductor.TimeLeft(time.Now())).Err(err).Msg("rollout: step")
	if err != nil {
		return false
	}
	r.conductor.RecordWritten(record)
	if record.Phase.Final() {
		r.finalAt = time.Now()
	}
	return true
}

var errNotWritten = errors.New("node: the record of the rollout was not written")

// readBack takes the revision of the row that was written.
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

// servers returns the servers of the service as this node sees them.
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
			})
		}
	}
	return out
}

// sendMessages sends messages and takes in the answers.
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
			answers, err := r.instruct(ctx, record, m)
			if err != nil {
				r.log.Warn().Str("peer", m.VM).Err(err).Msg("rollout: a node does not answer")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			r.conductor.RecordReports(time.Now(), m.VM, answers)
		})
	}
	wg.Wait()
}

// instruct tells the node of a VM, which may be this one.
func (r *leasedRollout) instruct(ctx context.Context, to *membership.ObservedRecord, m rollout.Message) ([]rollout.ServerReport, error) {
	q := encodeInstruction(m.Instruction)
	if m.VM == r.n.self.ID {
		return decodeAnswers(m.VM, r.n.rollouts.Instruct(q)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, instructTimeout)
	defer cancel()
	list, err := r.n.control.peers.Rollout(ctx, m.VM, to.VM.ControlAddr, q)
	return decodeAnswers(m.VM, list), err
}

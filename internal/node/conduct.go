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
	rolloutLease = 3 * time.Second // of the node that conducts a rollout
	rolloutRenew = time.Second
	// rolloutLook is the time between two looks at a lease that another holds, and
	// rolloutFirst the longest before the first: all feeders hear of an order at once.
	rolloutLook  = 1500 * time.Millisecond
	rolloutFirst = 400 * time.Millisecond
	// tellBound bounds an exchange with a node, and tellWidth those at once.
	tellBound = 400 * time.Millisecond
	tellWidth = 16
	// tellFinal is for how long nodes that haven't answered are told of a verdict. Later
	// they learn it from the table.
	tellFinal = 8 * time.Second
)

// conducting carries out the rollouts that operators order, at the nodes that read their
// orders. For each rollout one of them holds the lease.
type conducting struct {
	n   *Node
	log zerolog.Logger
	set rollout.Settings
}

func newConducting(n *Node) *conducting {
	return &conducting{n: n, log: telemetry.Part(n.log, "rollout"), set: rollout.Defaults()}
}

// run starts a coordinator for each order that comes in, until ctx ends.
func (c *conducting) run(ctx context.Context) {
	if c.n.o.Orders == nil {
		<-ctx.Done()
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	begun := make(map[string]context.CancelFunc)
	revisions := make(map[string]uint64)
	for {
		for service, o := range c.n.o.Inbox.All() {
			if o.Revision <= revisions[service] {
				continue
			}
			if stop := begun[service]; stop != nil {
				stop()
			}
			one, stop := context.WithCancel(ctx)
			begun[service], revisions[service] = stop, o.Revision
			wg.Go(func() { c.follow(one, o, time.Now()) })
		}
		select {
		case <-ctx.Done():
			return
		case <-c.n.o.Inbox.Changed():
		}
	}
}

// follow contends for the lease on a rollout until it is over.
func (c *conducting) follow(ctx context.Context, o rollout.Order, heard time.Time) {
	if err := o.Check(); err != nil {
		c.log.Error().Str("service", o.Service).Err(err).Msg("rollout: refuse an order")
		return
	}
	contender := lease.New(c.n.control.table, lease.Options{
		Name: "rollout-" + o.Service, Holder: c.n.self.ID + "/" + rand.Text(), Length: rolloutLease,
	})
	pause := jitter(rolloutFirst)
	for wait.For(ctx, pause) == nil {
		pause = jitter(rolloutLook)
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
		r := &oneRollout{conducting: c, order: o, lease: held, heard: heard}
		over := r.conduct(ctx)
		c.release(held)
		if over {
			return
		}
	}
}

func (c *conducting) release(l *lease.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), tellBound)
	defer cancel()
	if err := l.Release(ctx); err != nil {
		c.log.Info().Err(err).Msg("rollout: the lease was not given back, it runs out")
	}
}

// oneRollout is a rollout under this node's lease.
type oneRollout struct {
	*conducting
	order    rollout.Order
	lease    *lease.Lease
	heard    time.Time
	revision uint64 // of the record's row
	c        *rollout.Coordinator
	final    time.Time // when the verdict was written
	renewed  time.Time
}

// conduct decides until the rollout is over, or the lease is lost. It reports whether it is
// over.
func (r *oneRollout) conduct(ctx context.Context) bool {
	if !r.resume(ctx) {
		return false
	}
	for {
		now := time.Now()
		if !r.renew(ctx, now) {
			return false
		}
		r.c.SetServers(r.servers())
		if next, changed := r.c.Step(now); changed && !r.write(ctx, next) {
			return false
		}
		r.tell(ctx, r.c.Messages())
		if !r.final.IsZero() && (r.c.FinalAcknowledged() || now.Sub(r.final) > tellFinal) {
			return true
		}
		if wait.For(ctx, max(0, r.set.Tick-time.Since(now))) != nil {
			return false
		}
	}
}

// resume goes on from what lasts of the rollout.
func (r *oneRollout) resume(ctx context.Context) bool {
	record, revision, err := loadRecord(ctx, r.n.control.table, r.order.Service)
	if err != nil {
		r.log.Warn().Str("service", r.order.Service).Err(err).Msg("rollout: the record can't be read")
		return false
	}
	now := time.Now()
	r.revision = revision
	r.c = rollout.NewCoordinator(r.set, now, r.order, record, r.lease.Token(), r.elapsed(now, record))
	r.log.Info().Str("service", r.order.Service).Str("target", r.order.Target).Uint64("token", r.lease.Token()).
		Str("phase", string(r.c.Record().Phase)).Dur("left", r.c.TimeLeft(now)).Msg("rollout: this node conducts it")
	if record.Order == r.order.Revision {
		return true
	}
	return r.write(ctx, r.c.Record())
}

// elapsed returns the time since the order. Where an earlier coordinator has noted when it
// heard of it, that counts, as long as the clocks of the two can be right.
func (r *oneRollout) elapsed(now time.Time, record rollout.Record) time.Duration {
	own := now.Sub(r.heard)
	if record.Order != r.order.Revision {
		return own
	}
	noted := now.Sub(time.UnixMilli(record.Started))
	if noted < own || noted > r.order.TimeLimit {
		return own
	}
	return noted
}

func (r *oneRollout) renew(ctx context.Context, now time.Time) bool {
	if now.Sub(r.renewed) >= rolloutRenew {
		ctx, cancel := context.WithTimeout(ctx, tellBound)
		err := r.lease.Renew(ctx)
		cancel()
		if err == nil {
			r.renewed = now
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
func (r *oneRollout) write(ctx context.Context, record rollout.Record) bool {
	ctx, cancel := context.WithTimeout(ctx, rolloutRead)
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
		Str("reason", record.Reason).Dur("left", r.c.TimeLeft(time.Now())).Err(err).Msg("rollout: step")
	if err != nil {
		return false
	}
	r.c.RecordWritten(record)
	if record.Phase.Final() {
		r.final = time.Now()
	}
	return true
}

var errNotWritten = errors.New("node: the record of the rollout was not written")

// readBack takes the revision of the row that was written.
func (r *oneRollout) readBack(ctx context.Context, record rollout.Record) error {
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
func (r *oneRollout) servers() []rollout.Server {
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

// tell sends messages and takes in the answers.
func (r *oneRollout) tell(ctx context.Context, messages []rollout.Message) {
	view := r.n.views.Load()
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, tellWidth)
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
			r.c.RecordReports(time.Now(), m.VM, answers)
		})
	}
	wg.Wait()
}

// instruct tells the node of a VM, which may be this one.
func (r *oneRollout) instruct(ctx context.Context, to *membership.ObservedRecord, m rollout.Message) ([]rollout.ServerReport, error) {
	q := encodeInstruction(m.Instruction)
	if m.VM == r.n.self.ID {
		return decodeAnswers(m.VM, r.n.rollouts.Instruct(q)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, tellBound)
	defer cancel()
	list, err := r.n.control.peers.Rollout(ctx, m.VM, to.VM.ControlAddr, q)
	return decodeAnswers(m.VM, list), err
}

package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// Bounds of compaction, where CompactOptions says nothing else.
const (
	DefaultKeepLog      = 1024
	DefaultBatch        = 64
	DefaultRememberIDs  = 14 * 24 * time.Hour
	keptSnapshotObjects = 2
)

// Fence adds the condition of a lease to a transaction, so that it fails once
// the lease has passed to another holder.
type Fence interface {
	Fence(platform.Txn) platform.Txn
}

// CompactOptions bound what stays in the platform.
type CompactOptions struct {
	// KeepLog is how many log rows stay; DefaultKeepLog if zero. A node that
	// is further behind loads a snapshot.
	KeepLog uint64
	// Batch bounds the rows deleted in one transaction; DefaultBatch if zero.
	Batch int
	// RememberIDs is how long the outcome of a command stays;
	// DefaultRememberIDs if zero. A command sent again after that is a new one.
	RememberIDs time.Duration
}

// Compactor bounds the log and the command rows. Its Step is called now and
// then by the holder of the compaction lease.
//
// Two holders at once do no harm. Every write to the table carries the fence,
// so a holder that was paused past its lease fails with a ConflictError and
// changes nothing. Objects can't be fenced: writing one twice is harmless, as
// its name is its hash, and only objects are deleted that a fenced transaction
// has retired before; no version ever refers to them again.
type Compactor struct {
	reader  *Reader
	table   platform.Table
	objects platform.Objects
	o       CompactOptions
	cursor  string // where the scan over command rows goes on
}

// NewCompactor returns a compactor.
func NewCompactor(r *Reader, t platform.Table, o platform.Objects, opts CompactOptions) *Compactor {
	setDefault(&opts.KeepLog, DefaultKeepLog)
	setDefault(&opts.Batch, DefaultBatch)
	setDefault(&opts.RememberIDs, DefaultRememberIDs)
	return &Compactor{reader: r, table: t, objects: o, o: opts}
}

// CompactReport tells what one step did.
type CompactReport struct {
	Snapshot       config.Version // written in this step, or zero
	LogDeleted     int
	CommandDeleted int
	ObjectsDeleted int
	// More says that work is left for a next step at once.
	More bool
}

// Step does one bounded piece of work under the fence.
func (c *Compactor) Step(ctx context.Context, f Fence, now time.Time) (CompactReport, error) {
	var rep CompactReport
	head, err := c.reader.Head(ctx)
	if err != nil {
		return rep, err
	}
	if len(head.Retired) > 0 {
		return rep, c.deleteRetired(ctx, f, head, &rep)
	}
	if head.Version.Number >= head.Floor+c.o.KeepLog+uint64(c.o.Batch) || c.halfDone(head) {
		return rep, c.compactLog(ctx, f, head, &rep)
	}
	return rep, c.trimCommands(ctx, f, now, &rep)
}

// target returns the number that the floor is to reach.
func (c *Compactor) target(head Head) uint64 {
	if head.Version.Number < c.o.KeepLog {
		return 1
	}
	return head.Version.Number - c.o.KeepLog + 1
}

// halfDone reports whether a snapshot was written that lets the floor rise
// further than it did.
func (c *Compactor) halfDone(head Head) bool {
	return len(head.Snapshots) > 0 && head.Floor+uint64(c.o.Batch) <= min(c.target(head), head.Snapshots[0].Number+1)
}

// compactLog raises the floor by up to a batch. Before that it makes sure that
// a snapshot can be read from the object store that the log above the new
// floor goes on from; otherwise a node that starts anew could never get the
// configuration again.
func (c *Compactor) compactLog(ctx context.Context, f Fence, head Head, rep *CompactReport) error {
	floor := min(c.target(head), head.Floor+uint64(c.o.Batch))
	if len(head.Snapshots) == 0 || head.Snapshots[0].Number+1 < floor {
		if err := c.writeSnapshot(ctx, &head); err != nil {
			return err
		}
		rep.Snapshot = head.Version
	}
	t := platform.Txn{Conditions: []platform.Condition{headCondition(head)}}
	for n := head.Floor; n < floor; n++ {
		t.Writes = append(t.Writes, platform.Write{Key: platform.LogKey(n), Delete: true})
		rep.LogDeleted++
	}
	head.Floor = floor
	rep.More = true
	return c.commitHead(ctx, f, t, head)
}

// writeSnapshot puts the snapshot of head into the object store, reads it back,
// and enters it into head.
func (c *Compactor) writeSnapshot(ctx context.Context, head *Head) error {
	s, err := c.reader.Snapshot(ctx, *head)
	if err != nil {
		return err
	}
	b, err := config.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	name := SnapshotName(s.Version().Hash)
	if err := c.objects.Put(ctx, name, b); err != nil && !errors.Is(err, platform.ErrUnknown) {
		return fmt.Errorf("command: write snapshot %s: %w", s.Version(), err)
	}
	stored, err := c.objects.Get(ctx, name)
	if err != nil {
		return fmt.Errorf("command: read back snapshot %s: %w", s.Version(), err)
	}
	if _, err := config.DecodeSnapshot(stored); err != nil {
		return fmt.Errorf("command: read back snapshot %s: %w", s.Version(), err)
	}
	all := append([]config.Version{s.Version()}, head.Snapshots...)
	kept := min(len(all), keptSnapshotObjects)
	for _, v := range all[kept:] {
		head.Retired = append(head.Retired, v.Hash)
	}
	head.Snapshots = all[:kept]
	return nil
}

// deleteRetired deletes the objects that head has retired, then forgets them.
// The other order would leave objects behind that nobody knows of.
func (c *Compactor) deleteRetired(ctx context.Context, f Fence, head Head, rep *CompactReport) error {
	for _, h := range head.Retired {
		err := c.objects.Delete(ctx, SnapshotName(h))
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return fmt.Errorf("command: delete snapshot %s: %w", h.Short(), err)
		}
		rep.ObjectsDeleted++
	}
	head.Retired = nil
	rep.More = true
	return c.commitHead(ctx, f, platform.Txn{Conditions: []platform.Condition{headCondition(head)}}, head)
}

func (c *Compactor) commitHead(ctx context.Context, f Fence, t platform.Txn, head Head) error {
	w, err := encodeRow(platform.HeadKey, head)
	if err != nil {
		return err
	}
	t.Writes = append(t.Writes, w)
	if err := c.table.Commit(ctx, f.Fence(t)); err != nil {
		return fmt.Errorf("command: compact: %w", err)
	}
	return nil
}

// trimCommands deletes the outcomes in the next batch of command rows that are
// older than RememberIDs.
func (c *Compactor) trimCommands(ctx context.Context, f Fence, now time.Time, rep *CompactReport) error {
	rows, err := c.table.Scan(ctx, platform.CommandPrefix, c.cursor, c.o.Batch)
	if err != nil {
		return fmt.Errorf("command: scan outcomes: %w", err)
	}
	oldest := now.Add(-c.o.RememberIDs).UnixMilli()
	var t platform.Txn
	for _, row := range rows {
		var rec Record
		if decodeRow(row, &rec) != nil {
			continue // a newer node's form; one of those will delete it
		}
		if rec.Result.AtMS < oldest {
			t.Conditions = append(t.Conditions, platform.Condition{Key: row.Key, Revision: row.Revision})
			t.Writes = append(t.Writes, platform.Write{Key: row.Key, Delete: true})
		}
	}
	if len(t.Writes) > 0 {
		if err := c.table.Commit(ctx, f.Fence(t)); err != nil {
			return fmt.Errorf("command: delete outcomes: %w", err)
		}
	}
	rep.CommandDeleted = len(t.Writes)
	rep.More = len(rows) == c.o.Batch
	c.cursor = ""
	if rep.More {
		c.cursor = rows[len(rows)-1].Key
	}
	return nil
}

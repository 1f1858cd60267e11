package node

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/lease"
	"github.com/marlpass/marlpass/internal/wait"
)

// Intervals and limits of maintenance. Only the feeders, two per data centre, contend for the
// lease, so ten nodes of a mesh with five data centres read it: two reads each per minute.
const (
	maintenanceLease     = 3 * time.Minute
	maintenanceLeasePoll = time.Minute      // between two reads of another node's lease
	maintenanceIdleWait  = time.Minute      // after a step that found nothing to do
	maintenanceStepWait  = time.Second      // between two steps that deleted rows
	maintenanceScanWait  = 5 * time.Second  // between two steps that only read
	maintenanceTimeout   = 10 * time.Second // of one lease read, renewal or step
	maintenanceLeaseName = "maintenance"    // name of the lease row
	trimRows             = 128              // outcomes read and removed per step
	trimPassInterval     = 10 * time.Minute // between two passes over the outcomes
	maintenanceJitter    = 0.5              // random share of each wait
)

// trimmer removes old outcomes of keyed calls; once.Deduplicator implements it.
type trimmer interface {
	Trim(ctx context.Context, after string, limit int) (next string, removed int, err error)
}

// compactor performs one step of compaction; command.Compactor implements it.
type compactor interface {
	Step(ctx context.Context, f command.Fence, now time.Time) (command.CompactReport, error)
}

// maintainer keeps the platform's rows bounded while it holds the lease.
//
// A holder that is paused past its lease (a VM migration, a swapping process) may resume in the
// middle of a step with writes that another holder has made obsolete. Compaction therefore writes
// under the lease's fencing condition; such a write fails and the holder drops the lease. Trimming
// needs no fence: it deletes rows by revision, and a row that is too old stays too old. Only
// feeders contend, since a fleet of 1,200 nodes would read the platform 1,200 times a minute.
type maintainer struct {
	log       zerolog.Logger
	now       func() time.Time
	eligible  func() bool // whether this node may contend for the lease
	contender *lease.Contender
	compact   compactor
	trim      trimmer

	held      *lease.Lease
	cursor    string    // where the next trim step continues
	trimAfter time.Time // when the next pass over the outcomes may begin
	stats     maintenanceStats
}

func newMaintainer(t platform.Table, vm string, now func() time.Time) *maintainer {
	return &maintainer{
		now:      now,
		eligible: func() bool { return true },
		contender: lease.New(t, lease.Options{
			Name: maintenanceLeaseName, Holder: vm + "/" + rand.Text(), Length: maintenanceLease, Clock: now,
		}),
	}
}

// run performs the steps that are due until ctx is done, then releases the lease.
func (m *maintainer) run(ctx context.Context) {
	rest := maintenanceLeasePoll
	for {
		_ = wait.For(ctx, jitter(rest))
		if ctx.Err() != nil {
			m.release()
			return
		}
		rest = m.step(ctx)
	}
}

// jitter randomises waits, so that nodes that started together do not read at the same time.
func jitter(d time.Duration) time.Duration {
	part := maintenanceJitter * float64(d)
	return d - time.Duration(part/2) + time.Duration(mathrand.Float64()*part)
}

// step performs one bounded piece of work and returns the wait before the next.
func (m *maintainer) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	if !m.eligible() {
		m.release()
		return maintenanceLeasePoll
	}
	if !m.ensureLease(ctx) {
		return maintenanceLeasePoll
	}
	wait, err := m.compactAndTrim(ctx)
	if err == nil {
		return wait
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		if lostFence(conflict, m.held.Condition()) {
			m.dropLease()
			return maintenanceLeasePoll
		}
		return maintenanceStepWait // conflict with an operator's change: retry
	}
	m.stats.failed.Add(1)
	m.log.Warn().Err(err).Msg("maintenance: step failed")
	return maintenanceIdleWait
}

// ensureLease reports whether this node holds the lease. It acquires the lease if needed, and
// renews it once a third of its time has passed.
func (m *maintainer) ensureLease(ctx context.Context) bool {
	if m.held != nil && !m.held.Valid() {
		m.dropLease()
	}
	if m.held == nil {
		return m.acquire(ctx)
	}
	if m.held.Expiry().Sub(m.now()) > maintenanceLease*2/3 {
		return true
	}
	err := m.held.Renew(ctx)
	if errors.Is(err, lease.ErrLost) {
		m.dropLease()
		return false
	}
	if err != nil {
		m.log.Warn().Err(err).Msg("maintenance: lease could not be renewed")
	}
	return m.held.Valid()
}

func (m *maintainer) acquire(ctx context.Context) bool {
	l, err := m.contender.Acquire(ctx)
	if err != nil {
		if !errors.Is(err, lease.ErrHeld) {
			m.log.Warn().Err(err).Msg("maintenance: lease could not be acquired")
		}
		return false
	}
	m.held = l
	m.stats.holdsLease.Store(true)
	m.stats.taken.Add(1)
	m.log.Info().Uint64("token", l.Token()).Msg("maintenance: lease taken")
	return true
}

// dropLease drops a lease that another holder has, or may have.
func (m *maintainer) dropLease() {
	m.held = nil
	m.stats.holdsLease.Store(false)
	m.stats.lost.Add(1)
	m.log.Warn().Msg("maintenance: lease lost")
}

func (m *maintainer) release() {
	if m.held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := m.held.Release(ctx); err != nil {
		m.log.Warn().Err(err).Msg("maintenance: lease not released, it will expire")
	}
	m.held = nil
	m.stats.holdsLease.Store(false)
}

// compactAndTrim compacts, and trims outcomes when compaction has nothing urgent.
func (m *maintainer) compactAndTrim(ctx context.Context) (time.Duration, error) {
	rep, err := m.compact.Step(ctx, m.held, m.now())
	if err != nil {
		return 0, err
	}
	deleted := rep.LogDeleted + rep.CommandDeleted + rep.ObjectsDeleted
	m.stats.compacted.Add(uint64(deleted))
	if rep.More && deleted > 0 {
		return maintenanceStepWait, nil
	}
	trimWait, err := m.trimStep(ctx)
	if err != nil {
		return 0, err
	}
	if trimWait > 0 {
		return trimWait, nil
	}
	if rep.More {
		return maintenanceScanWait, nil
	}
	return maintenanceIdleWait, nil
}

// trimStep removes old outcomes. It returns the wait before the next step of the pass, or zero
// between passes.
func (m *maintainer) trimStep(ctx context.Context) (time.Duration, error) {
	if m.now().Before(m.trimAfter) {
		return 0, nil
	}
	next, removed, err := m.trim.Trim(ctx, m.cursor, trimRows)
	if err != nil {
		return 0, err
	}
	m.cursor = next
	m.stats.trimmed.Add(uint64(removed))
	switch {
	case next == "":
		m.trimAfter = m.now().Add(trimPassInterval)
		return 0, nil
	case removed > 0:
		return maintenanceStepWait, nil
	}
	return maintenanceScanWait, nil
}

// lostFence reports whether a write failed on the lease's fence, and not because another writer
// changed a row.
func lostFence(c *platform.ConflictError, fence platform.Condition) bool {
	for _, key := range c.Keys {
		if key == fence.Key {
			return true
		}
	}
	return false
}

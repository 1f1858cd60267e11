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
)

// Times of housekeeping. Only the feeders contend, two a data centre, so ten
// nodes of a mesh with five data centres look at the lease at all: two reads
// each in about a minute.
const (
	houseLease     = 3 * time.Minute
	houseLook      = time.Minute      // between two looks at another's lease
	houseRest      = time.Minute      // after a round that found nothing to do
	houseMore      = time.Second      // between two steps that found something
	houseScan      = 5 * time.Second  // between two steps that merely read
	houseTimeout   = 10 * time.Second // of one look, renewal or step
	houseLeaseName = "housekeeping"   // of the row in the platform
	trimRows       = 128              // outcomes read and removed in a step
	trimRest       = 10 * time.Minute // between two passes over the outcomes
	houseJitter    = 0.5              // share of each wait that is random
)

// trimmer removes old outcomes of keyed calls; once.Keeper is one.
type trimmer interface {
	Trim(ctx context.Context, after string, limit int) (next string, removed int, err error)
}

// compactor does a piece of compaction; command.Compactor is one.
type compactor interface {
	Step(ctx context.Context, f command.Fence, now time.Time) (command.CompactReport, error)
}

// housekeeper keeps the platform's rows bounded while it holds the lease.
//
// It guards against two failures. A holder that is paused past its lease (a VM
// that is moved, a process that swaps) wakes in the middle of a step and writes
// what another holder has made wrong since: compaction's writes carry the
// lease's fencing condition and fail, after which the holder gives up what it
// has. Trimming needs no fence: it deletes rows by their revision, and a row
// that is too old stays so. And a fleet that contends as a whole would read
// the platform 1,200 times a minute: only feeders do.
type housekeeper struct {
	log       zerolog.Logger
	now       func() time.Time
	duty      func() bool // whether this node may contend
	contender *lease.Contender
	compact   compactor
	trim      trimmer

	held      *lease.Lease
	cursor    string    // where trimming goes on
	trimAfter time.Time // when the next pass over the outcomes may begin
	figures   houseFigures
}

func newHousekeeper(t platform.Table, vm string, now func() time.Time) *housekeeper {
	return &housekeeper{
		now:  now,
		duty: func() bool { return true },
		contender: lease.New(t, lease.Options{
			Name: houseLeaseName, Holder: vm + "/" + rand.Text(), Length: houseLease, Clock: now,
		}),
	}
}

// run does what is due until ctx ends, then gives the lease back.
func (h *housekeeper) run(ctx context.Context) {
	wait := houseLook
	for {
		sleep(ctx, jitter(wait))
		if ctx.Err() != nil {
			h.release()
			return
		}
		wait = h.step(ctx)
	}
}

// jitter spreads waits, so that nodes that started together do not read
// together.
func jitter(d time.Duration) time.Duration {
	part := houseJitter * float64(d)
	return d - time.Duration(part/2) + time.Duration(mathrand.Float64()*part)
}

// step does one bounded piece of work and returns how long to wait for the
// next.
func (h *housekeeper) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, houseTimeout)
	defer cancel()
	if !h.duty() {
		h.release()
		return houseLook
	}
	if !h.hold(ctx) {
		return houseLook
	}
	wait, err := h.work(ctx)
	if err == nil {
		return wait
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		if lostFence(conflict, h.held.Condition()) {
			h.lose()
			return houseLook
		}
		return houseMore // an operator's change came between; look again
	}
	h.figures.failed.Add(1)
	h.log.Warn().Err(err).Msg("housekeeping: step failed")
	return houseRest
}

// hold reports whether this node holds the lease, and renews it when a third of
// it has passed.
func (h *housekeeper) hold(ctx context.Context) bool {
	if h.held != nil && !h.held.Valid() {
		h.lose()
	}
	if h.held == nil {
		return h.acquire(ctx)
	}
	if h.held.Expiry().Sub(h.now()) > houseLease*2/3 {
		return true
	}
	err := h.held.Renew(ctx)
	if errors.Is(err, lease.ErrLost) {
		h.lose()
		return false
	}
	if err != nil {
		h.log.Warn().Err(err).Msg("housekeeping: lease not renewed yet")
	}
	return h.held.Valid()
}

func (h *housekeeper) acquire(ctx context.Context) bool {
	l, err := h.contender.Acquire(ctx)
	if err != nil {
		if !errors.Is(err, lease.ErrHeld) {
			h.log.Warn().Err(err).Msg("housekeeping: lease not read")
		}
		return false
	}
	h.held = l
	h.figures.holds.Store(true)
	h.figures.taken.Add(1)
	h.log.Info().Uint64("token", l.Token()).Msg("housekeeping: lease taken")
	return true
}

// lose forgets a lease that another holder has, or may have.
func (h *housekeeper) lose() {
	h.held = nil
	h.figures.holds.Store(false)
	h.figures.lost.Add(1)
	h.log.Warn().Msg("housekeeping: lease lost")
}

func (h *housekeeper) release() {
	if h.held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := h.held.Release(ctx); err != nil {
		h.log.Warn().Err(err).Msg("housekeeping: lease runs out by itself")
	}
	h.held = nil
	h.figures.holds.Store(false)
}

// work compacts, and trims outcomes when compaction has nothing urgent.
func (h *housekeeper) work(ctx context.Context) (time.Duration, error) {
	rep, err := h.compact.Step(ctx, h.held, h.now())
	if err != nil {
		return 0, err
	}
	deleted := rep.LogDeleted + rep.CommandDeleted + rep.ObjectsDeleted
	h.figures.compacted.Add(uint64(deleted))
	if rep.More && deleted > 0 {
		return houseMore, nil
	}
	trimming, err := h.trimStep(ctx)
	if err != nil {
		return 0, err
	}
	if trimming > 0 {
		return trimming, nil
	}
	if rep.More {
		return houseScan, nil
	}
	return houseRest, nil
}

// trimStep removes old outcomes. It returns how long to wait for the next step
// of the pass, or zero between passes.
func (h *housekeeper) trimStep(ctx context.Context) (time.Duration, error) {
	if h.now().Before(h.trimAfter) {
		return 0, nil
	}
	next, removed, err := h.trim.Trim(ctx, h.cursor, trimRows)
	if err != nil {
		return 0, err
	}
	h.cursor = next
	h.figures.trimmed.Add(uint64(removed))
	switch {
	case next == "":
		h.trimAfter = h.now().Add(trimRest)
		return 0, nil
	case removed > 0:
		return houseMore, nil
	}
	return houseScan, nil
}

// lostFence reports whether a write failed because the lease has passed on, and
// not because a row was changed by somebody else.
func lostFence(c *platform.ConflictError, fence platform.Condition) bool {
	for _, key := range c.Keys {
		if key == fence.Key {
			return true
		}
	}
	return false
}

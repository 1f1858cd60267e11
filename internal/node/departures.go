package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/announce"
	"github.com/marlpass/marlpass/internal/defect"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/telemetry"
	"github.com/marlpass/marlpass/internal/wait"
)

const (
	// departureTimeout bounds a read or write of departures, and departureRetry is the mean time
	// between two attempts.
	departureTimeout = 2 * time.Second
	departureRetry   = 500 * time.Millisecond
	// departureMaxAge is how long a departure is kept, and departureRows the number of rows read at
	// once. Announcements are late by seconds; a VM has few departures in that time.
	departureMaxAge = time.Hour
	departureRows   = 32
)

// departures records in the platform's table which backend servers of this VM have said that they
// leave, and restores that when the node starts. It implements announce.Departures.
//
// A departure that is acknowledged binds the VM, not the process: an announcement from before it may
// arrive late, at a process that has not heard of the departure.
type departures struct {
	n   *Node
	log zerolog.Logger

	mu     sync.Mutex
	stored map[departureID]chan struct{} // closed once the departure is stored
}

type departureID struct {
	instance string
	started  int64
}

func newDepartures(n *Node) *departures {
	return &departures{n: n, log: telemetry.Part(n.log, "announce"), stored: make(map[departureID]chan struct{})}
}

// Record implements announce.Departures.
func (d *departures) Record(ctx context.Context, departure announce.Departure) {
	select {
	case <-d.store(departure):
	case <-ctx.Done():
		d.log.Warn().Str("instance", departure.Instance).
			Msg("announce: a departure is acknowledged before it is stored, storing it later")
	}
}

// store starts to store a departure, unless that has begun before. The channel is closed once it is
// stored.
func (d *departures) store(departure announce.Departure) <-chan struct{} {
	id := departureID{departure.Instance, departure.Started}
	d.mu.Lock()
	defer d.mu.Unlock()
	if done := d.stored[id]; done != nil {
		return done
	}
	done := make(chan struct{})
	d.stored[id] = done
	go func() {
		for {
			err := d.write(departure)
			if err == nil {
				break
			}
			d.log.Warn().Str("instance", departure.Instance).Err(err).Msg("announce: a departure was not stored")
			if wait.For(d.n.parts.ctx, jitter(departureRetry)) != nil {
				return
			}
		}
		close(done)
		d.removeOld()
	}()
	return done
}

func (d *departures) prefix() string { return platform.DeparturePrefix + d.n.self.ID + "/" }

// write stores a departure. Writing it again, or late, changes nothing.
func (d *departures) write(departure announce.Departure) error {
	ctx, cancel := context.WithTimeout(d.n.parts.ctx, departureTimeout)
	defer cancel()
	return d.n.control.table.Commit(ctx, platform.Txn{
		Writes: []platform.Write{{Key: d.prefix() + departure.Instance, Value: departure.Encode()}},
	})
}

// removeOld removes old departures among the rows that follow those of this VM. Each VM that records
// one does so, since the rows of a VM that is gone are nobody's.
func (d *departures) removeOld() {
	ctx, cancel := context.WithTimeout(d.n.parts.ctx, departureTimeout)
	defer cancel()
	rows, err := d.n.control.table.Scan(ctx, platform.DeparturePrefix, d.prefix(), departureRows)
	if err != nil {
		return
	}
	var txn platform.Txn
	for _, row := range rows {
		if old, err := announce.DecodeDeparture(row.Value); err == nil && time.Since(old.At) < departureMaxAge {
			continue
		}
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: row.Key, Revision: row.Revision})
		txn.Writes = append(txn.Writes, platform.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return
	}
	if err := d.n.control.table.Commit(ctx, txn); err != nil {
		d.log.Info().Err(err).Msg("announce: old departures were not removed")
	}
}

// restore reads the departures that earlier processes on this VM stored, and tries until it succeeds
// or ctx is done.
func (d *departures) restore(ctx context.Context) {
	if !d.n.registry.Limits().RestoreDepartures {
		return
	}
	for {
		list, err := d.read(ctx)
		if err == nil {
			if defect.On(defect.ForgetDepartures) {
				list = nil
			}
			if changes := d.n.registry.RestoreDepartures(time.Now(), list); len(changes) > 0 {
				d.n.backendsChanged(changes)
			}
			if len(list) > 0 {
				d.log.Info().Int("departures", len(list)).Msg("announce: departures of backend servers restored")
			}
			return
		}
		d.log.Warn().Err(err).Msg("announce: the departures of backend servers are not known")
		if wait.For(ctx, jitter(departureRetry)) != nil {
			return
		}
	}
}

func (d *departures) read(ctx context.Context) ([]announce.Departure, error) {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	rows, err := d.n.control.table.Scan(ctx, d.prefix(), "", departureRows)
	if err != nil {
		return nil, err
	}
	var list []announce.Departure
	var broken error
	for _, row := range rows {
		departure, err := announce.DecodeDeparture(row.Value)
		broken = errors.Join(broken, err)
		if err == nil {
			list = append(list, departure)
		}
	}
	if broken != nil {
		d.log.Error().Err(broken).Msg("announce: a stored departure can't be read")
	}
	return list, nil
}

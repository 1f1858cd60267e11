package server

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/gen/platformapi"
	"github.com/marlpass/marlpass/internal/platform/fake"
)

// GetSwitches implements platformapi.Handler.
func (h handler) GetSwitches(context.Context) (*platformapi.Switches, error) {
	return showSwitches(h.store.Switches()), nil
}

// PutSwitches implements platformapi.Handler.
func (h handler) PutSwitches(_ context.Context, req *platformapi.Switches) (*platformapi.Switches, error) {
	h.store.Set(fake.Switches{
		Down:            req.Down.Or(false),
		Frozen:          req.Frozen.Or(false),
		Slow:            time.Duration(req.SlowMs.Or(0)) * time.Millisecond,
		LoseRate:        req.LoseRate.Or(0),
		LoseNext:        req.LoseNext.Or(0),
		FailRate:        req.FailRate.Or(0),
		FailNext:        req.FailNext.Or(0),
		StaleAge:        time.Duration(req.StaleMs.Or(0)) * time.Millisecond,
		StaleRevisions:  req.StaleRevisions.Or(0),
		ReadsPerSecond:  req.ReadsPerSecond.Or(0),
		WritesPerSecond: req.WritesPerSecond.Or(0),
	})
	return showSwitches(h.store.Switches()), nil
}

func showSwitches(w fake.Switches) *platformapi.Switches {
	return &platformapi.Switches{
		Down:            platformapi.NewOptBool(w.Down),
		Frozen:          platformapi.NewOptBool(w.Frozen),
		SlowMs:          platformapi.NewOptInt(int(w.Slow.Milliseconds())),
		LoseRate:        platformapi.NewOptFloat64(w.LoseRate),
		LoseNext:        platformapi.NewOptInt(w.LoseNext),
		FailRate:        platformapi.NewOptFloat64(w.FailRate),
		FailNext:        platformapi.NewOptInt(w.FailNext),
		StaleMs:         platformapi.NewOptInt(int(w.StaleAge.Milliseconds())),
		StaleRevisions:  platformapi.NewOptInt(w.StaleRevisions),
		ReadsPerSecond:  platformapi.NewOptFloat64(w.ReadsPerSecond),
		WritesPerSecond: platformapi.NewOptFloat64(w.WritesPerSecond),
	}
}

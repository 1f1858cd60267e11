package node

import (
	"context"
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/query"
)

// Limits for a handover's reads from the platform, which run while other nodes report.
const (
	handoverReadTimeout = 2500 * time.Millisecond
	maxHandoverChanges  = 100
)

// Handover implements admin.Reader. A part that cannot be read is listed as not seen; the rest is
// still returned.
func (r *reader) Handover(ctx context.Context, since time.Time) (*adminapi.Handover, error) {
	n := r.n
	in := query.HandoverInput{Since: since.UTC()}
	reported := make(chan *query.Reports, 1)
	go func() { reported <- n.reports.collect(ctx) }()
	r.readPlatform(ctx, &in)
	in.Reports = <-reported

	in.Config = query.ConfigStateOf(n.store)
	in.View = n.views.Load()
	in.Targets = n.snapshot().Targets()
	in.Quarantined = n.quarantined(time.Now())
	in.Spread = n.spreadTimes()
	in.Findings = n.findings.list()
	for _, c := range n.control.distributor.Conflicts() {
		in.Conflicts = append(in.Conflicts, c.At.UTC().Format(time.RFC3339)+" "+c.Error())
	}
	return admin.HandoverOf(query.HandoverOf(in, time.Now())), nil
}

// readPlatform reads the head and the changes. The result of this read decides whether the
// platform counts as reachable, since the previous call may be long ago.
func (r *reader) readPlatform(ctx context.Context, in *query.HandoverInput) {
	ctx, cancel := context.WithTimeout(ctx, handoverReadTimeout)
	defer cancel()
	h, err := r.head(ctx)
	in.Platform = r.n.platformState(time.Now())
	var history *command.HistoryError
	switch {
	case errors.As(err, &history):
		in.Platform.HistoryError = history.Error()
	case err != nil:
		in.HistoryErr = err
		in.Platform.Err = err.Error()
		if in.Platform.DownSince.IsZero() {
			in.Platform.DownSince = time.Now()
		}
		return
	default:
		in.Platform.DownSince, in.Platform.Err = time.Time{}, ""
		in.Platform.LastAnswer = time.Now()
	}
	in.History, in.HistoryErr = r.history(ctx, h, query.HistoryFilter{Since: in.Since, Limit: maxHandoverChanges})
	if history != nil && in.HistoryErr == nil {
		// The platform's log lacks changes that are in force, or holds different ones.
		in.HistoryErr = history
	}
}

package node

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/query"
)

// readRetryAfter is the Retry-After of a read that the platform could not answer.
const readRetryAfter = 2 * time.Second

func (n *Node) snapshot() *config.Snapshot { return n.store.Load().Snapshot }

// reader serves the read requests of the admin API.
type reader struct{ n *Node }

var _ admin.Reader = (*reader)(nil)

// Snapshot implements admin.Reader.
func (r *reader) Snapshot() *config.Snapshot { return r.n.snapshot() }

// Status implements admin.Reader. It uses local state only, so that it answers even when peers and
// platform do not.
func (r *reader) Status(context.Context) (*adminapi.Status, error) {
	n, now := r.n, time.Now()
	q := query.StatusOf(query.StatusInput{
		Self: n.self, Config: query.ConfigStateOf(n.store), Platform: n.platformState(now), View: n.views.Load(),
	}, now)
	s := &adminapi.Status{
		VM:         q.VM,
		Region:     q.Region,
		DataCentre: q.DataCentre,
		State:      n.state(),
		InForce:    admin.VersionOf(q.InForce),
		Accepted:   admin.VersionOf(q.Accepted),
		Spread:     admin.TimingsOf(n.spreadTimes()),
		Platform:   admin.PlatformOf(q.Blind),
		Nodes:      q.Members.Alive + q.Members.Suspect + q.Members.Leaving,
		Backends:   []adminapi.BackendStatus{},
	}
	if q.Refused != nil {
		s.Refused.SetTo(adminapi.VersionNumber(q.Refused.Version.Number))
		s.RefusedReason.SetTo(q.Refused.Reason)
	}
	for _, b := range n.registry.Load() {
		s.Backends = append(s.Backends, adminapi.BackendStatus{
			Service: b.Service, Instance: b.Instance, Slots: b.Slots,
			State: adminapi.BackendStatusState(b.State.String()),
		})
	}
	return s, nil
}

func (n *Node) state() adminapi.StatusState {
	ready, _ := n.Ready()
	switch {
	case n.leaving.Load():
		return adminapi.StatusStateLeaving
	case ready:
		return adminapi.StatusStateReady
	}
	return adminapi.StatusStateStarting
}

// platformState returns the state of the platform according to this node's latest calls. A table
// set in Options keeps no such record and counts as answering.
func (n *Node) platformState(now time.Time) query.PlatformState {
	p := query.PlatformState{Accepted: n.control.log.Known()}
	if n.control.client == nil {
		p.LastAnswer = now
		return p
	}
	h := n.control.client.Health()
	p.LastAnswer = h.LastAnswer
	if h.Asked && !h.Answering {
		p.DownSince = h.Since
	}
	if h.Err != nil {
		p.Err = h.Err.Error()
	}
	return p
}

// spreadTimes returns how long the latest versions took to come into force here, newest first. A
// version that came in a snapshot is omitted, since its time of acceptance is unknown here.
func (n *Node) spreadTimes() []query.VersionTime {
	timeline := n.control.distributor.Timeline()
	out := make([]query.VersionTime, 0, len(timeline))
	for i := len(timeline) - 1; i >= 0; i-- {
		t := timeline[i]
		if !t.Accepted.IsZero() {
			out = append(out, query.NewVersionTime(t.Version.Number, t.Accepted, t.InForce))
		}
	}
	return out
}

// Command implements admin.Reader.
func (r *reader) Command(ctx context.Context, id string) (*adminapi.CommandRecord, error) {
	rec, err := r.n.control.log.Lookup(ctx, id)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return &adminapi.CommandRecord{Command: id, Outcome: adminapi.CommandRecordOutcomeNone}, nil
	case err != nil:
		return nil, unavailable(err)
	}
	return admin.RecordOf(id, rec), nil
}

func unavailable(err error) error {
	return &admin.UnavailableError{Detail: "the platform can't tell: " + err.Error(), RetryAfter: readRetryAfter}
}

// headTries is the number of reads of a head that is older than the known one: the platform's
// reads may be stale for a moment.
const headTries = 3

// head reads the platform's head. The error is a *command.HistoryError when all reads show an
// older version or another history.
func (r *reader) head(ctx context.Context) (command.Head, error) {
	var h command.Head
	var err error
	for range headTries {
		h, err = r.n.control.log.Head(ctx)
		if !errors.Is(err, command.ErrOlderHead) {
			break
		}
	}
	return h, err
}

// History implements admin.Reader.
func (r *reader) History(ctx context.Context, q admin.HistoryQuery) (*adminapi.History, error) {
	h, err := r.head(ctx)
	if err != nil && !errors.Is(err, command.ErrOlderHead) {
		return nil, unavailable(err)
	}
	f := query.HistoryFilter{Since: q.Since, Before: q.Before, Limit: q.Limit}
	if q.Key != nil {
		f.Key = *q.Key
	}
	page, err := r.history(ctx, h, f)
	if err != nil {
		return nil, unavailable(err)
	}
	return admin.HistoryOf(page), nil
}

func (r *reader) history(ctx context.Context, h command.Head, f query.HistoryFilter) (query.HistoryPage, error) {
	log := r.n.control.log
	newest := max(h.Version.Number, log.Known().Number)
	return query.History(ctx, log, newest, h.Floor, f)
}

// Diff implements admin.Reader.
func (r *reader) Diff(ctx context.Context, from uint64, to *uint64) (*adminapi.Diff, error) {
	a, err := r.snapshotAt(ctx, from)
	if err != nil {
		return nil, err
	}
	b := r.n.snapshot()
	if to != nil {
		if b, err = r.snapshotAt(ctx, *to); err != nil {
			return nil, err
		}
	}
	return admin.DiffOf(query.Diff(a, b)), nil
}

// snapshotAt returns the snapshot of a version: the cached one, or else one built from the
// platform's log and snapshot objects.
func (r *reader) snapshotAt(ctx context.Context, number uint64) (*config.Snapshot, error) {
	if number == 0 {
		return config.Empty(), nil
	}
	if s := r.n.control.log.Cached(number); s != nil {
		return s, nil
	}
	h, err := r.head(ctx)
	if err != nil && !errors.Is(err, command.ErrOlderHead) {
		return nil, unavailable(err)
	}
	missing := &admin.NotFoundError{What: "version " + strconv.FormatUint(number, 10)}
	if number > h.Version.Number {
		return nil, missing
	}
	if h, err = r.headAt(ctx, h, number); err != nil {
		return nil, unavailable(err)
	}
	if h.Version.Number != number {
		return nil, missing // its log row is compacted away
	}
	s, err := r.n.control.log.Snapshot(ctx, h)
	switch {
	case errors.Is(err, command.ErrNoSnapshot), errors.Is(err, command.ErrCompacted):
		return nil, missing
	case err != nil:
		return nil, unavailable(err)
	}
	return s, nil
}

// headAt returns the head as if the version with that number were the newest. Its version is zero
// when the log no longer holds that one.
func (r *reader) headAt(ctx context.Context, h command.Head, number uint64) (command.Head, error) {
	out := command.Head{Floor: h.Floor}
	for _, v := range h.Snapshots {
		if v.Number <= number {
			out.Snapshots = append(out.Snapshots, v)
		}
	}
	rows, err := r.n.control.log.Log(ctx, number-1, 1)
	if err == nil && len(rows) == 1 && rows[0].To.Number == number {
		out.Version = rows[0].To
	}
	return out, err
}

package admintest

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/platform"
)

// maxVersions bounds the versions that a test makes.
const maxVersions = 1000

// versions returns every version so far, and the deltas between them.
func (f *Fake) versions() ([]*config.Snapshot, []*config.Delta) {
	deltas, err := f.truth.Log(context.Background(), 0, maxVersions)
	if err != nil {
		panic("admintest: read the log: " + err.Error())
	}
	out := []*config.Snapshot{config.Empty()}
	for i, d := range deltas {
		next, err := d.Apply(out[i])
		if err != nil {
			panic("admintest: apply the log: " + err.Error())
		}
		out = append(out, next)
	}
	return out, deltas
}

// Snapshot implements admin.Reader.
func (f *Fake) Snapshot() *config.Snapshot {
	all, _ := f.versions()
	return all[len(all)-1]
}

// Command implements admin.Reader.
func (f *Fake) Command(ctx context.Context, id string) (*adminapi.CommandRecord, error) {
	r, err := f.reader.Lookup(ctx, id)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return &adminapi.CommandRecord{Command: id, Outcome: adminapi.CommandRecordOutcomeNone}, nil
	case err != nil:
		return nil, &admin.UnavailableError{Detail: "the platform cannot be reached", RetryAfter: time.Second}
	}
	return admin.RecordOf(id, r), nil
}

// Diff implements admin.Reader.
func (f *Fake) Diff(_ context.Context, from uint64, to *uint64) (*adminapi.Diff, error) {
	all, _ := f.versions()
	end := uint64(len(all) - 1)
	if to != nil {
		end = *to
	}
	for _, n := range []uint64{from, end} {
		if n >= uint64(len(all)) {
			return nil, &admin.NotFoundError{What: "version " + strconv.FormatUint(n, 10)}
		}
	}
	a, b := all[from], all[end]
	return &adminapi.Diff{
		From:    version(a.Version()),
		To:      version(b.Version()),
		Changes: admin.ChangesOf(config.Diff(a, b)),
	}, nil
}

// History implements admin.Reader.
func (f *Fake) History(_ context.Context, q admin.HistoryQuery) (*adminapi.History, error) {
	all, deltas := f.versions()
	out := &adminapi.History{Entries: []adminapi.HistoryEntry{}}
	for i, d := range slices.Backward(deltas) {
		e := entry(d, config.Diff(all[i], all[i+1]))
		if !selects(q, e) {
			continue
		}
		if len(out.Entries) == q.Limit {
			out.Next.SetTo(out.Entries[q.Limit-1].Version.Number)
			break
		}
		out.Entries = append(out.Entries, e)
	}
	return out, nil
}

func entry(d *config.Delta, changes []config.Change) adminapi.HistoryEntry {
	return adminapi.HistoryEntry{
		Version: version(d.To),
		At:      time.UnixMilli(d.AtMS).UTC(),
		By:      d.By,
		Team:    d.Team,
		Command: d.Command,
		Note:    adminapi.OptString{Value: d.Note, Set: d.Note != ""},
		Changes: admin.ChangesOf(changes),
	}
}

func selects(q admin.HistoryQuery, e adminapi.HistoryEntry) bool {
	if e.At.Before(q.Since) || (q.Before != 0 && uint64(e.Version.Number) >= q.Before) {
		return false
	}
	return q.Key == nil || slices.ContainsFunc(e.Changes, func(c adminapi.ObjectChange) bool {
		return string(c.Kind) == string(q.Key.Kind) && c.Name == q.Key.Name
	})
}

// Status implements admin.Reader.
func (f *Fake) Status(context.Context) (*adminapi.Status, error) {
	v := version(f.Snapshot().Version())
	return &adminapi.Status{
		VM: "vm-1", Region: "west", DataCentre: "neg-shed", State: adminapi.StatusStateReady,
		InForce: v, Accepted: v, Spread: admin.TimingsOf(f.spread()),
		Platform: adminapi.PlatformState{Reachable: true, AgeSeconds: adminapi.NewOptFloat64(1.5)},
		Nodes:    3,
		Backends: []adminapi.BackendStatus{{Service: "berth", Instance: "a", State: adminapi.BackendStatusStateReady, Slots: 6}},
	}, nil
}

func version(v config.Version) adminapi.Version {
	return adminapi.Version{Number: adminapi.VersionNumber(v.Number), Hash: v.Hash.String()}
}

package admintest

import (
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// Snapshot implements admin.Reader.
func (f *Fake) Snapshot() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head()
}

// Command implements admin.Reader.
func (f *Fake) Command(_ context.Context, id string) (*adminapi.CommandRecord, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mode == ModeUnavailable {
		return nil, &admin.UnavailableError{Detail: "the platform cannot be reached", RetryAfter: time.Second}
	}
	out, known := f.commands[id]
	r := &adminapi.CommandRecord{Command: id, Outcome: adminapi.CommandRecordOutcomeNone}
	if known {
		r.Outcome = adminapi.CommandRecordOutcomeAccepted
		r.Version.SetTo(version(out.Version))
	}
	return r, nil
}

// Diff implements admin.Reader.
func (f *Fake) Diff(_ context.Context, from uint64, to *uint64) (*adminapi.Diff, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end := f.head().Version().Number
	if to != nil {
		end = *to
	}
	for _, n := range []uint64{from, end} {
		if n >= uint64(len(f.versions)) {
			return nil, &admin.NotFoundError{What: "version " + strconv.FormatUint(n, 10)}
		}
	}
	a, b := f.versions[from], f.versions[end]
	return &adminapi.Diff{From: version(a.Version()), To: version(b.Version()), Changes: changes(a, b)}, nil
}

// History implements admin.Reader.
func (f *Fake) History(_ context.Context, q admin.HistoryQuery) (*adminapi.History, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &adminapi.History{Entries: []adminapi.HistoryEntry{}}
	for _, e := range f.entries {
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

func selects(q admin.HistoryQuery, e adminapi.HistoryEntry) bool {
	if e.At.Before(q.Since) || (q.Before != 0 && uint64(e.Version.Number) >= q.Before) {
		return false
	}
	if q.Key == nil {
		return true
	}
	for _, c := range e.Changes {
		if string(c.Kind) == string(q.Key.Kind) && c.Name == q.Key.Name {
			return true
		}
	}
	return false
}

// Handover implements admin.Reader with one of each thing to tell.
func (f *Fake) Handover(ctx context.Context, since time.Time) (*adminapi.Handover, error) {
	h, err := f.History(ctx, admin.HistoryQuery{Since: since, Limit: 50})
	if err != nil {
		return nil, err
	}
	now := f.Now()
	v := version(f.Snapshot().Version())
	return &adminapi.Handover{
		At: now, SeenBy: "vm-1", Accepted: v, InForce: v, Since: since,
		Platform: adminapi.PlatformState{Reachable: true, AgeSeconds: adminapi.NewOptFloat64(1.5)},
		Nodes:    3, NodesInForce: 2,
		Behind: []adminapi.NodeBehind{{VM: "vm-2", DataCentre: "gal-slip", Applied: 0,
			Refused: adminapi.NewOptVersionNumber(1), Reason: adminapi.NewOptString("unknown field"), AgeSeconds: 4}},
		Targets: []adminapi.TargetState{{Name: "berth-booking", Service: "berth",
			State: adminapi.TargetStateStateMissed, Percentile: adminapi.NewOptFloat64(99),
			AimMs: adminapi.NewOptInt64(200), MeasuredMs: adminapi.NewOptFloat64(312.5),
			Calls: adminapi.NewOptInt64(1400), AgeSeconds: 10}},
		Endpoints: []adminapi.EndpointState{{Service: "berth", VM: "vm-3", Instance: "a",
			State: adminapi.EndpointStateStateDraining, AgeSeconds: 2}},
		Quarantined: []adminapi.QuarantinedRequest{{Fingerprint: "9f3c", Expires: now.Add(time.Minute)}},
		NotSeen: []adminapi.NotSeen{{What: adminapi.NotSeenWhatDataCentre,
			Name: adminapi.NewOptString("gal-slip"), Detail: "nothing heard"}},
		Changes: h.Entries,
	}, nil
}

// Status implements admin.Reader.
func (f *Fake) Status(context.Context) (*adminapi.Status, error) {
	return &adminapi.Status{
		VM: "vm-1", Region: "west", DataCentre: "neg-shed", State: adminapi.StatusStateReady,
		InForce:  version(f.Snapshot().Version()),
		Platform: adminapi.PlatformState{Reachable: true, AgeSeconds: adminapi.NewOptFloat64(1.5)},
		Nodes:    3,
		Backends: []adminapi.BackendStatus{{Service: "berth", Instance: "a", State: adminapi.BackendStatusStateReady, Slots: 6}},
	}, nil
}

func version(v config.Version) adminapi.Version {
	return adminapi.Version{Number: adminapi.VersionNumber(v.Number), Hash: v.Hash.String()}
}

// changes tells how b differs from a, in key order.
func changes(a, b *config.Snapshot) []adminapi.ObjectChange {
	out := []adminapi.ObjectChange{}
	for _, o := range b.Objects() {
		old, there := a.Object(o.Key)
		switch {
		case !there:
			out = append(out, change(o.Key, adminapi.ObjectChangeActionAdded, nil, o.Raw))
		case string(old.Raw) != string(o.Raw):
			out = append(out, change(o.Key, adminapi.ObjectChangeActionChanged, old.Raw, o.Raw))
		}
	}
	for _, o := range a.Objects() {
		if _, there := b.Object(o.Key); !there {
			out = append(out, change(o.Key, adminapi.ObjectChangeActionWithdrawn, o.Raw, nil))
		}
	}
	return out
}

func change(k config.Key, action adminapi.ObjectChangeAction, before, after []byte) adminapi.ObjectChange {
	return adminapi.ObjectChange{
		Kind: adminapi.Kind(k.Kind), Name: k.Name, Action: action, Fields: fields(before, after)}
}

func fields(before, after []byte) []adminapi.FieldChange {
	a, b := members(before), members(after)
	names := make(map[string]bool)
	for n := range a {
		names[n] = true
	}
	for n := range b {
		names[n] = true
	}
	var out []adminapi.FieldChange
	for n := range names {
		if string(a[n]) != string(b[n]) {
			out = append(out, adminapi.FieldChange{Field: n, Before: text(a[n]), After: text(b[n])})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Field < out[j].Field })
	return out
}

func members(raw []byte) map[string]json.RawMessage {
	m := make(map[string]json.RawMessage)
	if raw != nil {
		_ = json.Unmarshal(raw, &m)
	}
	return m
}

func text(raw json.RawMessage) adminapi.OptString {
	return adminapi.OptString{Value: string(raw), Set: raw != nil}
}

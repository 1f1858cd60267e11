package admintest

import (
	"context"
	"errors"
	"time"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quarantine"
	"github.com/marlpass/marlpass/internal/query"
)

// Poison is the fingerprint of the request that a troubled Fake has in
// quarantine.
const Poison = "9f3c0000000000000000000000000001"

// SetTrouble makes the handover tell of one of each thing that can be wrong.
func (f *Fake) SetTrouble() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trouble = true
	f.held = []query.Quarantine{{
		ID: Poison, State: query.QuarantineRefused, Service: "berth", Detail: "POST berth/bookings",
		Crashes: []string{"vm-2/a/lk3", "vm-3/a/lk9"}, Expires: f.now().Add(time.Minute),
	}}
}

// Lift implements admin.Lifter.
func (f *Fake) Lift(_ context.Context, fp quarantine.Fingerprint, by string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.held {
		q := &f.held[i]
		if q.ID != fp.String() {
			continue
		}
		if q.State != query.QuarantineLifted {
			q.State, q.By, q.Crashes = query.QuarantineLifted, by, nil
		}
		return q.By, nil
	}
	return "", quarantine.ErrNotListed
}

// Quarantine implements admin.Reader.
func (f *Fake) Quarantine(context.Context) (*adminapi.QuarantineList, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &adminapi.QuarantineList{At: f.now(), SeenBy: "vm-1", Requests: admin.QuarantinedOf(f.held)}, nil
}

// Handover implements admin.Reader.
func (f *Fake) Handover(ctx context.Context, since time.Time) (*adminapi.Handover, error) {
	_, deltas := f.versions()
	in := f.quiet()
	in.Since = since
	for _, d := range deltas {
		if !time.UnixMilli(d.AtMS).Before(since) {
			in.History.Entries = append([]query.Entry{query.EntryOf(d)}, in.History.Entries...)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.trouble {
		f.upset(&in)
	}
	in.Quarantined = f.held
	return admin.HandoverOf(query.HandoverOf(in, f.now())), nil
}

// spread tells of the newest version only.
func (f *Fake) spread() []query.VersionTime {
	now := f.now()
	n := f.Snapshot().Version().Number
	return []query.VersionTime{query.NewVersionTime(n, now.Add(-3*time.Second), now.Add(-2*time.Second))}
}

// quiet is a mesh of three nodes in which all is well.
func (f *Fake) quiet() query.HandoverInput {
	now, s := f.now(), f.Snapshot()
	v := s.Version()
	records := make(map[string]*membership.ObservedRecord)
	for vm, dc := range map[string]string{"vm-1": "neg-shed", "vm-2": "gal-slip", "vm-3": "neg-shed"} {
		r := membership.Record{VM: membership.VM{ID: vm, DataCentre: dc}, State: membership.VMAlive, AppliedVersion: v.Number}
		copy(r.AppliedHash[:], v.Hash[:])
		records[vm] = &membership.ObservedRecord{Record: r, UpdatedAt: now.Add(-4 * time.Second)}
	}
	counts := query.ClassCounts{Calls: 700, Within: 700, Latency: query.Histogram{{AtMost: 90 * time.Millisecond, Calls: 700}}}
	reports := query.NewReports()
	reports.Asked, reports.At = 2, now
	for _, vm := range []string{"vm-1", "vm-2"} {
		reports.Add(query.NodeReport{VM: vm, Classes: map[string]query.ClassCounts{"berth-booking": counts}})
	}
	return query.HandoverInput{
		Config:   query.ConfigState{InForce: v},
		Platform: query.PlatformState{Accepted: v, LastAnswer: now.Add(-1500 * time.Millisecond)},
		View:     &membership.View{Self: "vm-1", Records: records},
		Targets:  s.Targets(),
		Reports:  reports,
		Spread:   f.spread(),
	}
}

// upset has one of each thing go wrong.
func (f *Fake) upset(in *query.HandoverInput) {
	now := f.now()
	behind := in.View.Records["vm-2"]
	behind.AppliedVersion, behind.AppliedHash = in.Config.InForce.Number-1, [8]byte{}
	behind.RefusedVersion, behind.RefusedReason = in.Config.InForce.Number, "unknown field"
	in.View.Records["vm-3"].Backends = []membership.Backend{
		{Service: "berth", Instance: "a", State: membership.BackendDraining},
	}
	in.View.CutOff = map[string]time.Time{"rest-dock": now.Add(-time.Minute)}
	late := query.ClassCounts{
		Calls: 100, Failed: 2, Within: 10, ShedBy: map[string]uint64{"overloaded": 17},
		Latency: query.Histogram{{AtMost: 312500 * time.Microsecond, Calls: 100}},
	}
	in.Reports.Asked, in.Reports.Missing = 4, []string{"vm-3"}
	in.Reports.Add(query.NodeReport{
		VM: "vm-4", Classes: map[string]query.ClassCounts{"berth-booking": late},
		Ejected: []query.Ejection{{Service: "berth", VM: "vm-1", Instance: "b", FailedPercent: 80}},
	})
	in.Platform.DownSince = now.Add(-time.Minute)
	in.Findings = []query.Finding{{At: now, Kind: "bad_peer", Detail: "peer vm-8: does not verify"}}
	in.HistoryErr = errors.New("the log is cut short")
	in.Conflicts = []string{"vm-9 has version 3 of another history"}
}

package query

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/membership"
)

var now = time.UnixMilli(1_000_000_000).UTC()

// reportsOf adds up the reports of nodes.
func reportsOf(at time.Time, nodes ...NodeReport) *Reports {
	r := NewReports()
	r.At = at
	for _, n := range nodes {
		r.Add(n)
	}
	return r
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func ago(d time.Duration) time.Time { return now.Add(-d) }

// logOf is a log whose version n sets service s0 or s1 by turns, n minutes
// after the first; what lies below floor is gone.
type logOf struct {
	newest, floor uint64
	reads         int
}

func (l *logOf) Log(_ context.Context, after uint64, limit int) ([]*config.Delta, error) {
	l.reads++
	var out []*config.Delta
	for n := max(after+1, l.floor); n <= l.newest && len(out) < limit; n++ {
		k := config.Key{Kind: config.KindService, Name: fmt.Sprint("s", n%2)}
		d := &config.Delta{
			To: config.Version{Number: n}, Set: []config.Object{{Key: k}},
			By: "o", Team: "t", AtMS: ago(time.Duration(l.newest-n) * time.Minute).UnixMilli(),
		}
		if n <= 2 {
			d.Created = []config.Key{k}
		}
		out = append(out, d)
	}
	return out, nil
}

func TestHistory(t *testing.T) {
	s1 := config.Key{Kind: config.KindService, Name: "s1"}
	cases := []struct {
		name   string
		log    logOf
		filter HistoryFilter
		first  uint64 // newest entry
		count  int
		begins uint64
		more   bool
	}{
		{"all", logOf{newest: 5, floor: 1}, HistoryFilter{}, 5, 5, 1, false},
		{"nothing yet", logOf{newest: 0, floor: 1}, HistoryFilter{}, 0, 0, 1, false},
		{"over several reads", logOf{newest: 400, floor: 1}, HistoryFilter{Limit: 1000}, 400, 400, 1, false},
		{"cut short by the limit", logOf{newest: 400, floor: 1}, HistoryFilter{Limit: 3}, 400, 3, 397, true},
		{"compacted", logOf{newest: 400, floor: 300}, HistoryFilter{Limit: 1000}, 400, 101, 300, false},
		{"before a version", logOf{newest: 9, floor: 1}, HistoryFilter{Before: 4}, 3, 3, 1, false},
		{"since", logOf{newest: 400, floor: 1}, HistoryFilter{Since: ago(4 * time.Minute)}, 400, 5, 386, false},
		{"until", logOf{newest: 9, floor: 1}, HistoryFilter{Until: ago(2 * time.Minute)}, 6, 6, 1, false},
		{"by object", logOf{newest: 9, floor: 1}, HistoryFilter{Key: s1}, 9, 5, 1, false},
		{"by kind", logOf{newest: 9, floor: 1}, HistoryFilter{Key: config.Key{Kind: config.KindTarget}}, 0, 0, 1, false},
		{"by team", logOf{newest: 9, floor: 1}, HistoryFilter{Team: "x"}, 0, 0, 1, false},
		{"by operator", logOf{newest: 9, floor: 1}, HistoryFilter{By: "o"}, 9, 9, 1, false},
	}
	for _, c := range cases {
		p, err := History(context.Background(), &c.log, c.log.newest, c.log.floor, c.filter)
		if err != nil || len(p.Entries) != c.count || p.Begins != c.begins || p.More != c.more {
			t.Errorf("%s: %d entries from %d, more %v, %v", c.name, len(p.Entries), p.Begins, p.More, err)
			continue
		}
		if c.count > 0 && p.Entries[0].Version.Number != c.first {
			t.Errorf("%s: newest is %d", c.name, p.Entries[0].Version.Number)
		}
	}
	l := &logOf{newest: 2, floor: 1}
	p, err := History(context.Background(), l, 2, 1, HistoryFilter{})
	if err != nil || len(p.Entries[1].Created) != 1 || p.Entries[1].Changed != nil {
		t.Errorf("%+v %v", p, err)
	}
}

func TestClasses(t *testing.T) {
	aim := &config.Target{Name: "book", Service: "berth", AnswerWithinMS: 200}
	none := &config.Target{Name: "bulk", Service: "berth"}
	cases := []struct {
		target *config.Target
		counts ClassCounts
		want   ClassState
	}{
		{aim, ClassCounts{Calls: 1000, Within: 990}, ClassMet},
		{aim, ClassCounts{Calls: 1000, Within: 989}, ClassMissed},
		{aim, ClassCounts{ShedBy: map[string]uint64{"overloaded": 7}}, ClassNoCalls},
		{none, ClassCounts{Calls: 10}, ClassNoAim},
	}
	for _, c := range cases {
		node := NodeReport{Classes: map[string]ClassCounts{c.target.Name: c.counts}}
		if r := reportsOf(now, node).Classes([]*config.Target{c.target})[0]; r.State != c.want {
			t.Errorf("%+v: %s", c.counts, r.State)
		}
	}
	// One node meets its target with few calls, another misses it with many.
	reports := reportsOf(now, []NodeReport{
		{VM: "a", Classes: map[string]ClassCounts{"book": {Calls: 10, Within: 10, Latency: Histogram{{ms(50), 10}}}}},
		{VM: "b", Classes: map[string]ClassCounts{
			"book": {Calls: 990, Within: 900, Failed: 3, Latency: Histogram{{ms(50), 900}, {ms(400), 90}},
				ShedBy: map[string]uint64{"overloaded": 2}},
			"bulk": {Calls: 1}, "withdrawn": {Calls: 5}}},
		{VM: "c"},
	}...)
	merged := reports.Classes([]*config.Target{aim, none})
	if len(merged) != 2 || merged[0].State != ClassMissed || merged[0].Calls != 1000 || merged[0].Failed != 3 ||
		merged[0].Shed != 2 || merged[0].P50MS != 50 || merged[0].P99MS != 400 || merged[0].MeasuredMS != 400 ||
		merged[0].Nodes != 2 || merged[0].WithinPercent != 91 || merged[1].State != ClassNoAim {
		t.Errorf("%+v", merged)
	}
}

func record(vm, dc string, applied uint64, h config.Hash, heard time.Time) *membership.ObservedRecord {
	r := membership.Record{VM: membership.VM{ID: vm, DataCentre: dc}, State: membership.VMAlive, AppliedVersion: applied}
	copy(r.AppliedHash[:], h[:])
	return &membership.ObservedRecord{Record: r, UpdatedAt: heard}
}

// trouble is a mesh in which everything that handover tells of has happened.
func trouble() HandoverInput {
	v7 := config.Version{Number: 7, Hash: config.Hash{7}}
	records := map[string]*membership.ObservedRecord{
		"a1": record("a1", "neg-shed", 7, v7.Hash, now),
		"a2": record("a2", "neg-shed", 5, config.Hash{5}, ago(time.Second)),
		"a3": record("a3", "neg-shed", 6, config.Hash{6}, ago(time.Second)),
		"a4": record("a4", "neg-shed", 7, config.Hash{99}, ago(time.Minute)),
		"b1": record("b1", "gal-slip", 6, config.Hash{6}, ago(10*time.Minute)),
		"b2": record("b2", "gal-slip", 7, v7.Hash, ago(10*time.Minute)),
	}
	records["a3"].RefusedVersion, records["a3"].RefusedReason = 7, "unknown field"
	records["a1"].Backends = []membership.Backend{
		{Service: "berth", Instance: "i1", State: membership.BackendReady},
		{Service: "berth", Instance: "i2", State: membership.BackendDraining},
		{Service: "berth", Instance: "i3", State: membership.BackendStarting}}
	records["a4"].State = membership.VMSuspect
	records["b2"].State = membership.VMLeaving
	records["b2"].Backends = []membership.Backend{{Service: "surveys", Instance: "i4", State: membership.BackendReady}}
	aim := &config.Target{Name: "book", Service: "berth", AnswerWithinMS: 200}
	reports := reportsOf(ago(3*time.Second),
		NodeReport{VM: "a1", Classes: map[string]ClassCounts{"book": {Calls: 100, Within: 90}},
			Ejected: []Ejection{{"archive", "a2", "x", 60}}},
		NodeReport{VM: "a2", Ejected: []Ejection{{"archive", "a2", "x", 80}}})
	reports.Asked, reports.Missing = 3, []string{"a3"}
	return HandoverInput{
		Since:  ago(8 * time.Hour),
		Config: ConfigState{InForce: v7, Refused: &config.Refused{Version: config.Version{Number: 8}, Err: errors.New("bad")}},
		Platform: PlatformState{Accepted: v7, LastAnswer: ago(90 * time.Second), DownSince: ago(80 * time.Second),
			HistoryError: "shows an older head"},
		View: &membership.View{Self: "a1", Records: records,
			CutOff: map[string]time.Time{"gal-slip": ago(5 * time.Minute)}},
		Targets: []*config.Target{aim},
		Reports: reports,
		Quarantined: []Quarantine{
			{ID: "q2", State: QuarantineRefused, Expires: now.Add(time.Minute)},
			{ID: "q1", State: QuarantineRefused, Expires: ago(time.Minute)},
			{ID: "q3", State: QuarantineSuspect, Expires: now.Add(time.Minute)}},
		Conflicts:  []string{"a4 has version 7 of another history"},
		Spread:     []VersionTime{NewVersionTime(7, ago(time.Minute), ago(58*time.Second))},
		HistoryErr: errors.New("platform down"),
	}
}

func TestHandoverTellsOfTrouble(t *testing.T) {
	h := HandoverOf(trouble(), now)
	v := h.Versions
	if v.Accepted.Number != 7 || v.Nodes != 5 || v.NodesCurrent != 1 || v.RefusedHere == nil {
		t.Errorf("versions: %+v", v)
	}
	behind := []NodeBehind{
		{"a2", "neg-shed", 5, 2, 1000, false}, {"a3", "neg-shed", 6, 1, 1000, false},
		{"b1", "gal-slip", 6, 1, 600_000, true}}
	if !slices.Equal(v.Behind, behind) {
		t.Errorf("behind: %+v", v.Behind)
	}
	if !slices.Equal(v.Refusing, []NodeRefusal{{"a3", "neg-shed", 7, "unknown field"}}) {
		t.Errorf("refusing: %+v", v.Refusing)
	}
	if len(v.OtherHistory) != 1 || v.OtherHistory[0].VM != "a4" {
		t.Errorf("other history: %+v", v.OtherHistory)
	}
	if v.Spread[0].TookMS != 2000 {
		t.Errorf("spread: %+v", v.Spread)
	}
	var endpoints []string
	for _, e := range h.Endpoints {
		endpoints = append(endpoints, e.Service+"/"+e.Instance+":"+string(e.State))
	}
	if got := strings.Join(endpoints, " "); got !=
		"archive/x:ejected berth/i2:draining berth/i3:starting surveys/i4:draining" {
		t.Errorf("endpoints: %s", got)
	}
	if e := h.Endpoints[0]; e.Nodes != 2 || e.DataCentre != "neg-shed" || !strings.Contains(e.Reason, "80%") {
		t.Errorf("ejected: %+v", e)
	}
	if len(h.Quarantined) != 2 || h.Quarantined[0].ID != "q2" || h.ClassesAge != 3000 || h.Asked != 3 || h.Reported != 2 {
		t.Errorf("%+v", h)
	}
	b := h.Blind
	if len(b.CutOff) != 1 || b.CutOff[0] != (CutOff{"gal-slip", ago(5 * time.Minute), 300_000, 2}) ||
		len(b.Silent) != 1 || b.Silent[0].VM != "a4" ||
		!slices.Equal(b.Unreported, []SilentNode{{"a3", "neg-shed", 1000}}) || b.PlatformDownMS != 80_000 || b.PlatformAnswerAgo != 90_000 {
		t.Errorf("cannot see: %+v", b)
	}
	if len(h.Attention) != 12 || !strings.HasPrefix(h.Attention[0], "two histories") ||
		!slices.Contains(h.Attention, "1 requests are quarantined") {
		t.Errorf("attention: %q", h.Attention)
	}
}

func TestQuietHandover(t *testing.T) {
	v1 := config.Version{Number: 1, Hash: config.Hash{1}}
	in := HandoverInput{
		Config: ConfigState{InForce: v1}, Platform: PlatformState{Accepted: v1, LastAnswer: now},
		View:    &membership.View{Self: "a1", Records: map[string]*membership.ObservedRecord{"a1": record("a1", "dc", 1, v1.Hash, now)}},
		Reports: reportsOf(now),
	}
	h := HandoverOf(in, now)
	if len(h.Attention) != 0 || h.Versions.NodesCurrent != 1 {
		t.Errorf("%+v", h)
	}
	b, err := json.Marshal(h)
	if err != nil || strings.Contains(string(b), "null,") || strings.Contains(string(b), "platform_down") {
		t.Errorf("%s %v", b, err)
	}
}

func TestStatusAndList(t *testing.T) {
	in := trouble()
	s := StatusOf(StatusInput{
		Self: membership.VM{ID: "a1", Region: "west", DataCentre: "neg-shed"}, Ready: true,
		Config: in.Config, Platform: in.Platform, View: in.View,
	}, now)
	if s.Members != (MemberCounts{Alive: 4, Suspect: 1, Leaving: 1}) || s.Refused == nil || s.Refused.Reason != "bad" || !s.Ready {
		t.Errorf("%+v", s)
	}
	first, err := config.New(1, config.Hash{}, []config.Object{
		config.EncodeService(config.Service{Name: "berth", Team: "t"}),
		config.EncodeService(config.Service{Name: "surveys", Team: "u"}),
		config.EncodeTarget(config.Target{Name: "book", Team: "t", Service: "berth"}),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		f                 ListFilter
		services, targets int
	}{{ListFilter{}, 2, 1}, {ListFilter{Team: "u"}, 1, 0}, {ListFilter{Service: "berth"}, 1, 1}} {
		if l := List(first, c.f); len(l.Services) != c.services || len(l.Targets) != c.targets {
			t.Errorf("%+v: %+v", c.f, l)
		}
	}
	if d := Diff(first, first); d.Changes == nil || len(d.Changes) != 0 {
		t.Errorf("%+v", d)
	}
}

// In a quiet mesh nothing changes for hours: no version, no backend server.
// Nodes probe each other all the time, but records carry nothing new, and the
// time at which anything new was learned of a node grows old. The handover
// called every such node silent after 30 s, and nobody looked at the list any
// more when one was.
func TestNodeWithoutNewsIsNotSilent(t *testing.T) {
	v1 := config.Version{Number: 1, Hash: config.Hash{1}}
	records := map[string]*membership.ObservedRecord{
		"a1": record("a1", "dc", 1, v1.Hash, now),
		"a2": record("a2", "dc", 1, v1.Hash, ago(8*time.Hour)),
		"a3": record("a3", "dc", 1, v1.Hash, ago(time.Second)),
	}
	records["a3"].State = membership.VMSuspect
	records["a2"].AppliedHash = [8]byte{} // only the number is known
	h := HandoverOf(HandoverInput{
		Config: ConfigState{InForce: v1}, Platform: PlatformState{Accepted: v1, LastAnswer: now},
		View: &membership.View{Self: "a1", Records: records}, Reports: reportsOf(now),
	}, now)
	if v := h.Versions; v.NodesCurrent != 3 || len(v.OtherHistory) != 0 {
		t.Errorf("versions: %+v", v)
	}
	if s := h.Blind.Silent; len(s) != 1 || s[0].VM != "a3" {
		t.Errorf("silent: %+v", s)
	}
}

package distribute

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
)

type downPlatform struct{}

func (downPlatform) Head(context.Context) (config.Version, error) { return config.Version{}, errLost }

func (downPlatform) Since(context.Context, config.Version) ([]*config.Delta, error) {
	return nil, errLost
}

func (downPlatform) Snapshot(context.Context, config.Version) (*config.Snapshot, error) {
	return nil, errLost
}

func newTestRunner(t *testing.T) (*Runner, *config.Store[int]) {
	t.Helper()
	store, err := config.NewStore(func(*config.Snapshot) (int, error) { return 0, nil })
	if err != nil {
		t.Fatal(err)
	}
	r := NewRunner(Defaults("self", "dc", TimeProfile()), Deps{
		Views: new(membership.CurrentView), Platform: downPlatform{}, Store: store, Log: zerolog.Nop(),
	})
	t.Cleanup(r.stop)
	return r, store
}

func tell(t *testing.T, ds []*config.Delta) *peerpb.Envelope {
	t.Helper()
	p, err := Pack(ds, nil)
	if err != nil {
		t.Fatal(err)
	}
	to := ds[len(ds)-1].To
	return &peerpb.Envelope{From: "p", Version: to.Number, Hash: to.Hash[:], Changes: p}
}

// What an operator would see: senders whose links are full for a minute when a
// data centre comes back. Pulls over the cap are refused with a time to wait.
func TestPullsServedAreCapped(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, snap := history(t, "booking", 3)
	r.Heard(tell(t, ds))
	req := &peerpb.PullRequest{From: "q"}
	a, err := r.ServePull(req)
	if err != nil || a.RetryAfterMs != 0 {
		t.Fatal(a, err)
	}
	got, err := answerFromProto(a)
	if err != nil || got.Version != snap.Version() || len(got.Deltas) != 3 {
		t.Fatal(got, err)
	}
	r.served.SetLimit(1e-9) // nothing comes back while the test runs
	r.served.AllowN(time.Now(), int(r.served.Tokens()))
	a, err = r.ServePull(req)
	if err != nil {
		t.Fatal(err)
	}
	var busy *BusyError
	if _, err := answerFromProto(a); !errors.As(err, &busy) || busy.RetryAfter != retryAfter {
		t.Fatalf("over the cap: %v", err)
	}
	req.HeadOnly = true
	if a, err = r.ServePull(req); err != nil || a.RetryAfterMs != 0 {
		t.Fatal("an answer without changes was refused")
	}
}

// A peer that asks about a snapshot is told over the wire whether the version
// that it holds is in the history, and is never told so of another history's.
func TestAnswerTellsWhetherItKnowsTheHeldVersion(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, snap := history(t, "booking", 3)
	other, _ := history(t, "other", 3)
	r.Heard(tell(t, ds))
	v := snap.Version()
	for _, c := range []struct {
		pull Pull
		want bool
	}{
		{Pull{Version: v, Held: ds[0].To}, true},
		{Pull{Version: ds[0].To, Held: ds[0].To}, true},
		{Pull{Version: v, Held: other[0].To}, false},
		{Pull{Version: other[0].To, Held: other[0].To}, false},
		{Pull{Version: v, Held: config.Version{Number: 9, Hash: v.Hash}}, false},
	} {
		m, err := r.ServePull(pullToProto(c.pull, false))
		if err != nil {
			t.Fatal(err)
		}
		if a, err := answerFromProto(m); err != nil || a.KnowsHeld != c.want {
			t.Errorf("%v: %v, %v", c.pull, a.KnowsHeld, err)
		}
	}
}

// What an operator would see: nodes that run out of memory, one after the other.
// One broken or captured VM tells each a few kilobytes that unpack to tens of
// megabytes, on many connections at once. What is told is small; the rest is
// pulled, from one peer at a time.
func TestToldBombIsDropped(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, _ := history(t, "booking", 1)
	bomb := *ds[0]
	bomb.Note = strings.Repeat("x", 20<<20)
	e := tell(t, []*config.Delta{&bomb})
	if n := len(e.Changes.Data); n > 8<<10 {
		t.Fatalf("the bomb has %d bytes", n)
	}
	r.Heard(e)
	if got := r.Stamp().Version; got.Number != 0 {
		t.Fatalf("took %s from a bomb", got)
	}
	large := *ds[0]
	large.Note = strings.Repeat("x", TimeProfile().MaxInlineBytes)
	r.Heard(tell(t, []*config.Delta{&large}))
	if r.Stamp().Version != ds[0].To {
		t.Fatal("a change of the size that nodes tell was not used")
	}
}

func TestRunnerDropsMalformedMessages(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, _ := history(t, "booking", 1)
	bad := tell(t, ds)
	bad.Hash = bad.Hash[:5]
	r.Heard(bad)
	if r.Stamp().Version.Number != 0 {
		t.Fatal("a message with a short hash was used")
	}
	if _, err := r.ServePull(&peerpb.PullRequest{Version: 7, Hash: []byte("x")}); !errors.Is(err, ErrBadAnswer) {
		t.Fatal(err)
	}
	r.Heard(tell(t, ds))
	if r.Stamp().Version != ds[0].To {
		t.Fatal("a good message was not used")
	}
}

// What an operator would see: handover says that a node runs the version that
// its build cannot run. The node holds and passes on the newer one, and says
// how far what it runs lies behind.
func TestVersionThatCannotRunIsHeldAndSaidToBeBehind(t *testing.T) {
	r, store := newTestRunner(t)
	ds, snap := history(t, "booking", 1)
	odd := config.Object{Key: config.Key{Kind: config.KindTarget, Name: "x"}, Raw: []byte(`{"from_a_newer_build":1}`)}
	_, next, err := snap.Next([]config.Object{odd}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Heard(tell(t, append(ds, next)[:1]))
	r.flying.Wait()
	r.Heard(tell(t, append(ds, next)))
	r.flying.Wait()
	if s := r.Stamp(); s.Version != next.To || s.Behind != 1 {
		t.Fatalf("stamp %+v", s)
	}
	if v := store.Load().Snapshot.Version(); v != ds[0].To || store.Refused().Version != next.To {
		t.Fatalf("in force %d", v.Number)
	}
}

// FuzzHeard: whatever a peer sends, in a message or as an answer, nothing comes
// into force that is not a whole version under its own hash.
func FuzzHeard(f *testing.F) {
	s, d, err := config.Empty().Next([]config.Object{config.EncodeService(config.Service{Name: "booking", Team: "t"})}, nil)
	if err != nil {
		f.Fatal(err)
	}
	packed, err := Pack([]*config.Delta{d}, nil)
	if err != nil {
		f.Fatal(err)
	}
	v := s.Version()
	f.Add("vm-1", v.Number, v.Hash[:], uint64(0), packed.Data)
	f.Add("vm-1", v.Number, v.Hash[:8], uint64(9), []byte("x"))
	f.Add("", uint64(0), []byte(nil), uint64(1)<<63, []byte(nil))
	f.Fuzz(func(t *testing.T, from string, number uint64, hash []byte, behind uint64, data []byte) {
		changes := &peerpb.Packed{Data: data}
		_, err := answerFromProto(&peerpb.PullResponse{Version: number, Hash: hash, Changes: changes})
		if err != nil && !errors.Is(err, ErrBadAnswer) {
			t.Errorf("a bad answer is told as %v", err)
		}
		r, store := newTestRunner(t)
		r.Heard(&peerpb.Envelope{From: from, Version: number, Hash: hash, Behind: behind, Changes: changes})
		got := store.Load().Snapshot
		whole, err := config.New(got.Version().Number, got.Parent(), got.Objects())
		if err != nil || whole.Version() != got.Version() {
			t.Errorf("in force: %v; %v", got.Version(), err)
		}
	})
}

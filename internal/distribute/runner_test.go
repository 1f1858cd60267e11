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

func pushEnvelope(t *testing.T, ds []*config.Delta) *peerpb.Envelope {
	t.Helper()
	p, err := Pack(ds, nil)
	if err != nil {
		t.Fatal(err)
	}
	to := ds[len(ds)-1].To
	return &peerpb.Envelope{From: "p", Version: to.Number, Hash: to.Hash[:], Changes: p}
}

// Guards senders' links against saturation for a minute when a data centre restarts. Pulls over the
// limit are refused with a delay.
func TestServedPullBytesAreLimited(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, snap := history(t, "booking", 3)
	r.Heard(pushEnvelope(t, ds))
	req := &peerpb.PullRequest{From: "q"}
	a, err := r.ServePull(req)
	if err != nil || a.RetryAfterMs != 0 {
		t.Fatal(a, err)
	}
	got, err := answerFromProto(a)
	if err != nil || got.Version != snap.Version() || len(got.Deltas) != 3 {
		t.Fatal(got, err)
	}
	r.pullLimiter.SetLimit(1e-9) // no tokens are added while the test runs
	r.pullLimiter.AllowN(time.Now(), int(r.pullLimiter.Tokens()))
	a, err = r.ServePull(req)
	if err != nil {
		t.Fatal(err)
	}
	var busy *BusyError
	if _, err := answerFromProto(a); !errors.As(err, &busy) || busy.RetryAfter != retryAfter {
		t.Fatalf("over the limit: %v", err)
	}
	req.HeadOnly = true
	if a, err = r.ServePull(req); err != nil || a.RetryAfterMs != 0 {
		t.Fatal("an answer without changes was refused")
	}
}

// Guards the answer to a pull for a snapshot against a wrong KnowsHeld: it must be true over the
// wire only for a held version in this history.
func TestPullAnswerReportsHeldVersionInHistory(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, snap := history(t, "booking", 3)
	other, _ := history(t, "other", 3)
	r.Heard(pushEnvelope(t, ds))
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

// Guards nodes against running out of memory. One faulty or compromised VM pushes a few kilobytes
// that decompress to tens of megabytes to each, over many connections at once. Pushes are small;
// larger changes are pulled from one peer at a time.
func TestDecompressionBombIsDropped(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, _ := history(t, "booking", 1)
	bomb := *ds[0]
	bomb.Note = strings.Repeat("x", 20<<20)
	e := pushEnvelope(t, []*config.Delta{&bomb})
	if n := len(e.Changes.Data); n > 8<<10 {
		t.Fatalf("the decompression bomb has %d bytes", n)
	}
	r.Heard(e)
	if got := r.Stamp().Version; got.Number != 0 {
		t.Fatalf("applied %s from a decompression bomb", got)
	}
	large := *ds[0]
	large.Note = strings.Repeat("x", TimeProfile().MaxInlineBytes)
	r.Heard(pushEnvelope(t, []*config.Delta{&large}))
	if r.Stamp().Version != ds[0].To {
		t.Fatal("a change within Profile.MaxInlineBytes was not applied")
	}
}

func TestRunnerDropsMalformedMessages(t *testing.T) {
	r, _ := newTestRunner(t)
	ds, _ := history(t, "booking", 1)
	bad := pushEnvelope(t, ds)
	bad.Hash = bad.Hash[:5]
	r.Heard(bad)
	if r.Stamp().Version.Number != 0 {
		t.Fatal("a message with a short hash was applied")
	}
	if _, err := r.ServePull(&peerpb.PullRequest{Version: 7, Hash: []byte("x")}); !errors.Is(err, ErrBadAnswer) {
		t.Fatal(err)
	}
	r.Heard(pushEnvelope(t, ds))
	if r.Stamp().Version != ds[0].To {
		t.Fatal("a valid message was not applied")
	}
}

// Guards the handover against showing a version as running that the node's build cannot run. The
// node holds and distributes it, and reports how far the version in force lags.
func TestUnrunnableVersionIsHeldAndReportedBehind(t *testing.T) {
	r, store := newTestRunner(t)
	ds, snap := history(t, "booking", 1)
	odd := config.Object{Key: config.Key{Kind: config.KindTarget, Name: "x"}, Raw: []byte(`{"from_a_newer_build":1}`)}
	_, next, err := snap.Next([]config.Object{odd}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Heard(pushEnvelope(t, append(ds, next)[:1]))
	r.inFlight.Wait()
	r.Heard(pushEnvelope(t, append(ds, next)))
	r.inFlight.Wait()
	if s := r.Stamp(); s.Version != next.To || s.Behind != 1 {
		t.Fatalf("stamp %+v", s)
	}
	if v := store.Load().Snapshot.Version(); v != ds[0].To || store.Refused().Version != next.To {
		t.Fatalf("in force %d", v.Number)
	}
}

// FuzzHeard checks that, whatever a peer sends in a message or an answer, only a whole version
// under its own hash comes into force.
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
			t.Errorf("an invalid answer gives the error %v", err)
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

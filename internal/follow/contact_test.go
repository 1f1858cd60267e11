package follow

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/distribute"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
)

// inForceWithin is the users' bound from the acknowledgement of a version until it is in
// force on every node that reaches the platform.
const inForceWithin = 2 * time.Second

// reach says what becomes of a message to a peer.
type reach int

const (
	reaches reach = iota
	// silent is a peer behind a cut: nothing comes back.
	silent
	// refuses is a VM whose node is not running.
	refuses
)

// feederless is a node that is no feeder, with a source in reach, and peers that hold the
// version of the source at each moment. It is the source and the client of its runner.
type feederless struct {
	t      *testing.T
	view   *membership.View
	runner *Runner

	mu      sync.Mutex
	newest  *config.Snapshot
	changed chan struct{} // closed when newest changes
	peers   map[string]reach
	given   config.Version // by Next, the last time
	reads   int            // of the source
	behind  bool           // the source has dropped its changes
}

// newFeederless starts the node, and returns once it holds the first version.
func newFeederless(t *testing.T, ctx context.Context) *feederless {
	f := &feederless{t: t, view: crowd(t), newest: config.Empty(), changed: make(chan struct{}), peers: make(map[string]reach)}
	var views membership.CurrentView
	views.Store(f.view)
	store, err := config.NewStore(func(*config.Snapshot) (int, error) { return 0, nil })
	if err != nil {
		t.Fatal(err)
	}
	f.accept()
	f.runner = NewRunner(Defaults("me", "dc", 0), Deps{Source: f, Views: &views, Client: f, Store: store, Log: zerolog.Nop()})
	go f.runner.Run(ctx)
	time.Sleep(3 * time.Second)
	f.holds(1)
	return f
}

// accept puts a new version into the source.
func (f *feederless) accept() {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fmt.Sprint("s", f.newest.Version().Number)
	next, _, err := f.newest.Next([]config.Object{config.EncodeService(config.Service{Name: name, Team: "berths"})}, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.newest = next
	close(f.changed)
	f.changed = make(chan struct{})
}

// holds checks which version is in force.
func (f *feederless) holds(want uint64) {
	f.t.Helper()
	if got := f.runner.Stamp().Version.Number; got != want {
		f.t.Errorf("version %d is in force, want %d", got, want)
	}
}

// feeders returns the feeders of the node, and others the other peers.
func (f *feederless) feeders() (feeders, others []string) {
	for id := range f.view.Records {
		switch {
		case id == "me":
		case distribute.IsFeeder(f.view, id, "dc"):
			feeders = append(feeders, id)
		default:
			others = append(others, id)
		}
	}
	slices.Sort(feeders)
	return feeders, others
}

func (f *feederless) set(r reach, peers ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range peers {
		f.peers[p] = r
	}
}

// Next implements Source.
func (f *feederless) Next(ctx context.Context, _ time.Duration) (*config.Snapshot, error) {
	for {
		f.mu.Lock()
		f.reads++
		if f.behind {
			f.behind = false
			f.mu.Unlock()
			return nil, ErrCompacted
		}
		newest, changed := f.newest, f.changed
		if newest.Version().Newer(f.given) {
			f.given = newest.Version()
			f.mu.Unlock()
			return newest, nil
		}
		f.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Push implements distribute.Client. What this node tells changes nothing.
func (f *feederless) Push(context.Context, string, *peerpb.Packed) error { return nil }

// Pull implements distribute.Client.
func (f *feederless) Pull(ctx context.Context, to, _ string, q *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	f.mu.Lock()
	r, newest := f.peers[to], f.newest
	f.mu.Unlock()
	switch r {
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case refuses:
		return nil, errors.New("connection refused")
	}
	v := newest.Version()
	a := &peerpb.PullResponse{Version: v.Number, Hash: v.Hash[:], Ready: true}
	if q.HeadOnly || v.Number <= q.Version {
		return a, nil
	}
	var err error
	a.Changes, err = distribute.Pack(nil, newest)
	return a, err
}

// A VM is cut off from others, and reaches the platform. Its feeders can't tell it of a new
// version, and it went on answering 404 on a route that was added 2.1 to 4.4 s before: it
// waited to be told until its membership took the feeders for gone, 3.1 s after the cut at
// best. So it was in 4 of 6 runs of a day of such cuts. Its log had no line between the last
// version of a feeder and the first of another data centre, while the feeders' logs told of
// a peer that was not told.
func TestCutOffFromFeedersReadsTheSource(t *testing.T) {
	for _, cut := range []struct {
		name string
		how  func(*feederless)
	}{
		{"cut off from all", func(f *feederless) {
			feeders, others := f.feeders()
			f.set(silent, slices.Concat(feeders, others)...)
		}},
		{"cut off from its feeders alone", func(f *feederless) {
			feeders, _ := f.feeders()
			f.set(silent, feeders...)
		}},
		{"both feeders are killed", func(f *feederless) {
			feeders, _ := f.feeders()
			f.set(refuses, feeders...)
		}},
		{"one is killed, one is cut off", func(f *feederless) {
			feeders, _ := f.feeders()
			f.set(refuses, feeders[0])
			f.set(silent, feeders[1])
		}},
	} {
		t.Run(strings.ReplaceAll(cut.name, " ", "_"), func(t *testing.T) {
			for moment := time.Duration(0); moment < time.Second; moment += 50 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					defer stop()
					f := newFeederless(t, ctx)
					time.Sleep(moment)
					cut.how(f)
					for v := range uint64(4) {
						f.accept()
						time.Sleep(inForceWithin)
						f.holds(v + 2)
					}
				})
			}
		})
	}
}

// The feeders answer, and the source is theirs to read: a node that asks them all the while
// must not begin to read it as well, nor where one of the two is gone for a time.
func TestLeavesTheSourceToItsFeeders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newFeederless(t, ctx)
		before := f.reads
		feeders, _ := f.feeders()
		for _, r := range []reach{silent, refuses, reaches} {
			f.set(r, feeders[0])
			time.Sleep(10 * time.Second)
		}
		if f.reads != before {
			t.Errorf("the source was read %d times", f.reads-before)
		}
		f.accept() // and nobody tells of it
		time.Sleep(time.Second)
		f.holds(2)
	})
}

// A cut ends. Only the feeders may read the source from then on, or every node of a data
// centre that once was cut off would keep a question open there.
func TestGivesTheSourceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newFeederless(t, ctx)
		feeders, _ := f.feeders()
		f.set(silent, feeders...)
		time.Sleep(3 * time.Second)
		if !f.runner.Feeder() {
			t.Fatal("the node doesn't read the source")
		}
		f.set(reaches, feeders...)
		time.Sleep(time.Second)
		if f.runner.Feeder() {
			t.Error("the node still reads the source")
		}
	})
}

// A source was not asked for a while and keeps no changes from then. It answers: neither may
// the logs say that it is lost, nor may the node ask all its peers.
func TestSourceWithoutHistoryIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newFeederless(t, ctx)
		f.set(silent, slices.Collect(maps.Keys(f.view.Records))...)
		f.behind = true
		f.accept()
		time.Sleep(inForceWithin)
		f.holds(2)
		if f.behind || f.runner.state.Failing() {
			t.Error("the source counts as failing")
		}
	})
}

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

// inForceWithin is the users' bound from the acknowledgement of a version until it is in force on
// every node that reaches the platform.
const inForceWithin = 2 * time.Second

// reachability is the result of a request to a peer.
type reachability int

const (
	reachable reachability = iota
	// silent is a partitioned peer: it does not answer.
	silent
	// refusing is a VM whose node is not running.
	refusing
)

// nonFeeder is a node that is no feeder. The source is reachable, and the peers hold the newest
// version of the source at all times. It is the source and the client of its runner.
type nonFeeder struct {
	t      *testing.T
	view   *membership.View
	runner *Runner

	mu        sync.Mutex
	newest    *config.Snapshot
	changed   chan struct{} // closed when newest changes
	peers     map[string]reachability
	lastGiven config.Version // last version returned by Next
	reads     int            // reads of the source
	compacted bool           // the source has compacted its changes away
}

// newNonFeeder starts the node, and returns once it holds the first version.
func newNonFeeder(t *testing.T, ctx context.Context) *nonFeeder {
	f := &nonFeeder{t: t, view: nonFeederView(t), newest: config.Empty(), changed: make(chan struct{}), peers: make(map[string]reachability)}
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
	f.checkHeld(1)
	return f
}

// accept adds a new version to the source.
func (f *nonFeeder) accept() {
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

// checkHeld checks the version in force.
func (f *nonFeeder) checkHeld(want uint64) {
	f.t.Helper()
	if got := f.runner.Stamp().Version.Number; got != want {
		f.t.Errorf("version %d is in force, want %d", got, want)
	}
}

// feeders returns the feeders of the node, and the other peers.
func (f *nonFeeder) feeders() (feeders, others []string) {
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

func (f *nonFeeder) set(r reachability, peers ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range peers {
		f.peers[p] = r
	}
}

// Next implements Source.
func (f *nonFeeder) Next(ctx context.Context, _ time.Duration) (*config.Snapshot, error) {
	for {
		f.mu.Lock()
		f.reads++
		if f.compacted {
			f.compacted = false
			f.mu.Unlock()
			return nil, ErrCompacted
		}
		newest, changed := f.newest, f.changed
		if newest.Version().Newer(f.lastGiven) {
			f.lastGiven = newest.Version()
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

// Push implements distribute.Client. Pushes of this node have no effect.
func (f *nonFeeder) Push(context.Context, string, *peerpb.Packed) error { return nil }

// Pull implements distribute.Client.
func (f *nonFeeder) Pull(ctx context.Context, to, _ string, q *peerpb.PullRequest) (*peerpb.PullResponse, error) {
	f.mu.Lock()
	r, newest := f.peers[to], f.newest
	f.mu.Unlock()
	switch r {
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case refusing:
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

// Guards against a node that is partitioned from its feeders, but reaches the platform, and runs an
// old version. It waited for a push until its membership removed the feeders, 3.1 s after the cut
// at best, and answered 404 on a route that was added 2.1 to 4.4 s before. This happened in 4 of 6
// runs with such partitions, without a line in the node's log; only the feeders logged failed
// pushes.
func TestCutOffFromFeedersReadsTheSource(t *testing.T) {
	for _, cut := range []struct {
		name string
		how  func(*nonFeeder)
	}{
		{"cut off from all", func(f *nonFeeder) {
			feeders, others := f.feeders()
			f.set(silent, slices.Concat(feeders, others)...)
		}},
		{"cut off from its feeders alone", func(f *nonFeeder) {
			feeders, _ := f.feeders()
			f.set(silent, feeders...)
		}},
		{"both feeders are killed", func(f *nonFeeder) {
			feeders, _ := f.feeders()
			f.set(refusing, feeders...)
		}},
		{"one is killed, one is cut off", func(f *nonFeeder) {
			feeders, _ := f.feeders()
			f.set(refusing, feeders[0])
			f.set(silent, feeders[1])
		}},
	} {
		t.Run(strings.ReplaceAll(cut.name, " ", "_"), func(t *testing.T) {
			for moment := time.Duration(0); moment < time.Second; moment += 50 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					defer stop()
					f := newNonFeeder(t, ctx)
					time.Sleep(moment)
					cut.how(f)
					for v := range uint64(4) {
						f.accept()
						time.Sleep(inForceWithin)
						f.checkHeld(v + 2)
					}
				})
			}
		})
	}
}

// Guards against a node that reads the source although its feeders confirm its version, also while
// one of the two is gone.
func TestLeavesTheSourceToItsFeeders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newNonFeeder(t, ctx)
		before := f.reads
		feeders, _ := f.feeders()
		for _, r := range []reachability{silent, refusing, reachable} {
			f.set(r, feeders[0])
			time.Sleep(10 * time.Second)
		}
		if f.reads != before {
			t.Errorf("the source was read %d times", f.reads-before)
		}
		f.accept() // without a push
		time.Sleep(time.Second)
		f.checkHeld(2)
	})
}

// Guards against nodes that go on reading the source after a partition has healed: every node of
// the data centre would keep a long poll open.
func TestStopsReadingOnceFeedersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newNonFeeder(t, ctx)
		feeders, _ := f.feeders()
		f.set(silent, feeders...)
		time.Sleep(3 * time.Second)
		if !f.runner.Feeder() {
			t.Fatal("the node does not read the source during the partition")
		}
		f.set(reachable, feeders...)
		time.Sleep(time.Second)
		if f.runner.Feeder() {
			t.Error("the node still reads the source")
		}
	})
}

// Guards against a source that has compacted the changes since the last read counting as lost: the
// node would log an outage and pull from all its peers.
func TestSourceWithoutHistoryIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		f := newNonFeeder(t, ctx)
		f.set(silent, slices.Collect(maps.Keys(f.view.Records))...)
		f.compacted = true
		f.accept()
		time.Sleep(inForceWithin)
		f.checkHeld(2)
		if f.compacted || f.runner.state.Failing() {
			t.Error("the source counts as failing")
		}
	})
}

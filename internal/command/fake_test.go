package command

import (
	"context"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/memory"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, nil) }

// fault is what happens to one operation on the platform.
type fault int

const (
	works       fault = iota
	fails             // does not take effect, and says so
	lostBefore        // does not take effect; the answer is lost
	lostAfter         // takes effect; the answer is lost
	delayed           // the answer is lost; takes effect some time later
	stale             // reads only: an earlier state is shown
	faultsCount = iota
)

// event is what happens to one operation; a stale read shows the state so many
// writes back.
type event struct {
	fault fault
	back  int
}

// flaky is a table over memory whose faults are chosen by next, which is asked
// before each operation.
type flaky struct {
	*memory.Store
	next    func() event
	states  []map[string]platform.Row
	pending []platform.Txn
	log     map[string]string // every log row ever written
	rewrote bool              // a log row was written twice with other content
	reads   int
	writes  int
}

func newFlaky() *flaky {
	f := &flaky{Store: memory.New(), next: func() event { return event{} }, log: map[string]string{}}
	f.keep()
	return f
}

// keep remembers the present state for stale reads, unless it is the last one
// still.
func (f *flaky) keep() {
	rows, _ := f.Store.Scan(context.Background(), "", "", 1<<20)
	m := make(map[string]platform.Row, len(rows))
	for _, r := range rows {
		m[r.Key] = r
	}
	if n := len(f.states); n > 0 && reflect.DeepEqual(m, f.states[n-1]) {
		return
	}
	f.states = append(f.states, m)
}

// errNoWrites is what the platform says to a transaction without a write.
var errNoWrites = errors.New("a transaction needs a write")

func (f *flaky) apply(t platform.Txn) error {
	if len(t.Writes) == 0 {
		return errNoWrites
	}
	if err := f.Store.Commit(context.Background(), t); err != nil {
		return err
	}
	for _, w := range t.Writes {
		if !strings.HasPrefix(w.Key, platform.LogPrefix) || w.Delete {
			continue
		}
		if was, ok := f.log[w.Key]; ok && was != string(w.Value) {
			f.rewrote = true
		}
		f.log[w.Key] = string(w.Value)
	}
	f.keep()
	return nil
}

// flush lets the oldest delayed write arrive.
func (f *flaky) flush() {
	if len(f.pending) > 0 {
		_ = f.apply(f.pending[0]) // most often its conditions no longer hold
		f.pending = f.pending[1:]
	}
}

func (f *flaky) earlier(back int) map[string]platform.Row {
	return f.states[max(0, len(f.states)-1-back)]
}

func (f *flaky) Commit(_ context.Context, t platform.Txn) error {
	f.writes++
	switch e := f.next(); e.fault {
	case fails:
		return platform.ErrUnavailable
	case lostBefore:
		return platform.ErrUnknown
	case lostAfter:
		_ = f.apply(t)
		return platform.ErrUnknown
	case delayed:
		f.pending = append(f.pending, t)
		return platform.ErrUnknown
	}
	return f.apply(t)
}

func (f *flaky) Get(_ context.Context, key string) (platform.Row, error) {
	f.reads++
	at := f.states[len(f.states)-1]
	switch e := f.next(); e.fault {
	case fails, lostBefore:
		return platform.Row{}, platform.ErrUnavailable
	case stale:
		at = f.earlier(e.back)
	}
	if r, ok := at[key]; ok {
		return r, nil
	}
	return platform.Row{}, platform.ErrNotFound
}

func (f *flaky) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.reads++
	switch e := f.next(); e.fault {
	case fails, lostBefore:
		return nil, platform.ErrUnavailable
	case stale:
		old := f.earlier(e.back)
		rows, _ := f.Store.Scan(ctx, prefix, after, limit)
		for i, r := range rows {
			if _, ok := old[r.Key]; !ok {
				return rows[:i], nil
			}
		}
		return rows, nil
	}
	return f.Store.Scan(ctx, prefix, after, limit)
}

// turns lets one of several workers run at a time, in an order drawn by rapid.
type turns struct {
	parked chan *worker // a worker that waits before an operation, or has ended
	all    []*worker
}

type worker struct {
	grant chan event
	done  bool
}

// start runs body as a worker that hands each operation to the scheduler.
func (s *turns) start(body func()) {
	w := &worker{grant: make(chan event)}
	s.all = append(s.all, w)
	go func() {
		s.parked <- w
		<-w.grant
		body()
		w.done = true
		s.parked <- w
	}()
	<-s.parked
}

// run grants turns until every worker has ended.
func (s *turns) run(t *rapid.T, f *flaky) {
	var running *worker
	f.next = func() event {
		w := running
		s.parked <- w
		return <-w.grant
	}
	for {
		var waiting []*worker
		for _, w := range s.all {
			if !w.done {
				waiting = append(waiting, w)
			}
		}
		if len(waiting) == 0 {
			break
		}
		running = rapid.SampledFrom(waiting).Draw(t, "turn")
		if rapid.IntRange(0, 3).Draw(t, "flush") == 0 {
			f.flush()
		}
		running.grant <- drawEvent(t)
		<-s.parked
	}
	f.next = func() event { return event{} }
}

func drawEvent(t *rapid.T) event {
	if rapid.Bool().Draw(t, "works") {
		return event{}
	}
	return event{
		fault: fault(rapid.IntRange(1, faultsCount-1).Draw(t, "fault")),
		back:  rapid.IntRange(0, 8).Draw(t, "back"),
	}
}

func noSleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// testOptions give up early, so that a run meets every outcome.
func testOptions() Options {
	return Options{
		Attempts: 4, DownAttempts: 2, SettleAttempts: 2,
		Timeout: time.Hour, Sleep: noSleep, Rand: func() float64 { return 0.5 },
		Now: func() time.Time { return time.UnixMilli(1_000_000) },
	}
}

// node is a reader and a committer of a node that holds nothing yet.
func node(f *flaky) (*Reader, *Committer) {
	r := NewReader(f, f.Objects(), SnapshotFunc(config.Empty))
	return r, NewCommitter(r, f, testOptions())
}

func service(name, description string) config.Object {
	return config.EncodeService(config.Service{Name: name, Team: "t", Description: description})
}

func set(id string, base uint64, objects ...config.Object) Command {
	cmd := Command{ID: id, Operator: "o", Team: "t", Set: objects}
	if base != 0 {
		cmd.Base = &base
	}
	return cmd
}

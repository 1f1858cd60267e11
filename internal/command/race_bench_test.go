package command

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/memory"
)

// benchLatency is how long each platform operation takes in the benchmark.
const benchLatency = 2 * time.Millisecond

// slow is a table in memory whose operations take benchLatency.
type slow struct {
	*memory.Store
	reads, writes atomic.Int64
}

func (s *slow) Get(ctx context.Context, key string) (platform.Row, error) {
	s.reads.Add(1)
	time.Sleep(benchLatency)
	return s.Store.Get(ctx, key)
}

func (s *slow) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	s.reads.Add(1)
	time.Sleep(benchLatency)
	return s.Store.Scan(ctx, prefix, after, limit)
}

func (s *slow) Commit(ctx context.Context, t platform.Txn) error {
	s.writes.Add(1)
	time.Sleep(benchLatency)
	return s.Store.Commit(ctx, t)
}

// racer adds one to a counter that it shares with other racers, and tells
// whether it was told that this took effect.
type racer interface{ increment(id string) bool }

// versioned sends the version that it read along with the new value.
type versioned struct {
	r      *Reader
	c      *Committer
	object string
}

func (v versioned) increment(id string) bool {
	for try := 0; ; try++ {
		head, err := v.r.Head(ctx)
		if err != nil {
			return false
		}
		s, err := v.r.Snapshot(ctx, head)
		if err != nil {
			return false
		}
		cmd := set(fmt.Sprint(id, "-", try), 0, service(v.object, addOne(s, v.object)))
		cmd.Base = &head.Version.Number
		res := v.c.Submit(ctx, cmd)
		if res.Reason != ReasonConflict {
			return res.Outcome == Accepted
		}
	}
}

// lastWins is the baseline: it reads the configuration, changes it and writes
// it back, whatever was written in between.
type lastWins struct {
	t      *slow
	object string
}

func (l lastWins) increment(string) bool {
	s := config.Empty()
	if row, err := l.t.Get(ctx, platform.HeadKey); err == nil {
		if s, err = config.DecodeSnapshot(row.Value); err != nil {
			return false
		}
	}
	next, _, err := s.Next([]config.Object{service(l.object, addOne(s, l.object))}, nil)
	if err != nil {
		return false
	}
	b, err := config.EncodeSnapshot(next)
	if err != nil {
		return false
	}
	return l.t.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: platform.HeadKey, Value: b}}}) == nil
}

func addOne(s *config.Snapshot, object string) string { return strconv.Itoa(count(s, object) + 1) }

func count(s *config.Snapshot, object string) int {
	v := s.Service(object)
	if v == nil {
		return 0
	}
	n, _ := strconv.Atoi(v.Description)
	return n
}

// BenchmarkRacing has racers on several nodes increment counters at once: one
// shared by all, or one each. It reports the rate of accepted changes, the
// platform operations of each, and how many accepted ones were lost.
func BenchmarkRacing(b *testing.B) {
	for _, way := range []string{"versioned", "last-wins"} {
		for _, objects := range []string{"same", "own"} {
			for _, n := range []int{1, 3, 10} {
				b.Run(fmt.Sprintf("%s/%s-object/racers-%d", way, objects, n), func(b *testing.B) {
					race(b, way, objects == "same", n)
				})
			}
		}
	}
}

func race(b *testing.B, way string, same bool, n int) {
	t := &slow{Store: memory.New()}
	var accepted, refused, started atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	for w := range n {
		object := "shared"
		if !same {
			object = fmt.Sprint("own", w)
		}
		var r racer = lastWins{t, object}
		if way == "versioned" {
			reader := NewReader(t, t.Objects(), SnapshotFunc(config.Empty))
			r = versioned{reader, NewCommitter(reader, t, Options{Timeout: time.Minute}), object}
		}
		wg.Go(func() {
			for i := started.Add(1); i <= int64(b.N); i = started.Add(1) {
				if r.increment(fmt.Sprint("w", w, "-", i)) {
					accepted.Add(1)
				} else {
					refused.Add(1)
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	seconds := b.Elapsed().Seconds()
	b.ReportMetric(float64(accepted.Load())/seconds, "accepted/s")
	b.ReportMetric(float64(t.reads.Load())/float64(accepted.Load()), "reads/accepted")
	b.ReportMetric(float64(t.writes.Load())/float64(accepted.Load()), "writes/accepted")
	b.ReportMetric(float64(refused.Load()), "refused")
	b.ReportMetric(float64(accepted.Load())-float64(total(b, t, way)), "lost")
	b.ReportMetric(0, "ns/op")
}

// total adds up the counters as they stand in the platform.
func total(b *testing.B, t *slow, way string) int {
	s := config.Empty()
	if way == "versioned" {
		r := NewReader(t.Store, t.Objects(), SnapshotFunc(config.Empty))
		head, err := r.Head(ctx)
		if err != nil {
			b.Fatal(err)
		}
		if s, err = r.Snapshot(ctx, head); err != nil {
			b.Fatal(err)
		}
	} else if row, err := t.Store.Get(ctx, platform.HeadKey); err == nil {
		if s, err = config.DecodeSnapshot(row.Value); err != nil {
			b.Fatal(err)
		}
	}
	sum := 0
	for _, v := range s.Services() {
		sum += count(s, v.Name)
	}
	return sum
}

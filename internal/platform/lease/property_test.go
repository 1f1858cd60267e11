package lease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/fake"
	"github.com/marlpass/marlpass/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Flags{"rapid.steps": "60", "rapid.nofailfile": "true"})
}

// world is several contenders with clocks that disagree, on one platform.
type world struct {
	store   *fake.Store
	elapsed time.Duration
	members []*member
	holders map[uint64]string // by token
	highest uint64            // token of the newest write of work
	tally   *tally
}

// member is one contender with the leases and writes it still believes in.
type member struct {
	name      string
	contender *Contender
	lease     *Lease
	prepared  []platform.Txn
}

// tally shows that the property met what it's about.
type tally struct{ taken, written, fenced int }

func newWorld(t *rapid.T, n *tally) *world {
	w := &world{store: fake.NewSeeded(rapid.Uint64().Draw(t, "seed")), holders: map[uint64]string{}, tally: n}
	for i := range 3 {
		m := &member{name: fmt.Sprintf("holder-%d", i)}
		start := time.Unix(rapid.Int64Range(0, 1_000_000).Draw(t, "start"), 0)
		speed := rapid.SampledFrom([]float64{0.5, 1, 1, 4}).Draw(t, "speed")
		m.contender = New(w.store.Table(), Options{Name: "compaction", Holder: m.name, Length: length,
			Clock: func() time.Time { return start.Add(time.Duration(float64(w.elapsed) * speed)) }})
		w.members = append(w.members, m)
	}
	return w
}

func (w *world) pick(t *rapid.T) *member { return rapid.SampledFrom(w.members).Draw(t, "member") }

// pickWith picks a member that has something, or skips the step.
func (w *world) pickWith(t *rapid.T, has func(*member) bool) *member {
	m := slices.DeleteFunc(slices.Clone(w.members), func(m *member) bool { return !has(m) })
	if len(m) == 0 {
		t.Skip("nobody")
	}
	return rapid.SampledFrom(m).Draw(t, "member")
}

func (m *member) hasLease() bool    { return m.lease != nil }
func (m *member) hasPrepared() bool { return len(m.prepared) > 0 }

// wait passes time in which a member that has nothing to do is also one that
// is paused.
func (w *world) wait(t *rapid.T) {
	w.elapsed += time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second
}

func (w *world) trouble(t *rapid.T) {
	w.store.Set(fake.Switches{
		LoseRate:       rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "lose"),
		FailRate:       rapid.SampledFrom([]float64{0, 0, 0.3}).Draw(t, "fail"),
		StaleRevisions: rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "stale"),
	})
}

func (w *world) acquire(t *rapid.T) {
	m := w.pick(t)
	l, err := m.contender.Acquire(t.Context())
	if err != nil {
		return
	}
	if other, taken := w.holders[l.Token()]; taken && other != m.name {
		t.Fatalf("token %d belongs to %s and %s", l.Token(), other, m.name)
	}
	w.holders[l.Token()] = m.name
	m.lease = l
	w.tally.taken++
}

func (w *world) renewOrRelease(t *rapid.T) {
	m := w.pickWith(t, (*member).hasLease)
	if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
		_ = m.lease.Release(t.Context())
		return
	}
	_ = m.lease.Renew(t.Context())
}

// prepare makes a write that its holder sends later, after whatever happens in
// between. The holder trusts nothing but its lease: it doesn't look at Valid.
func (w *world) prepare(t *rapid.T) {
	m := w.pickWith(t, (*member).hasLease)
	m.prepared = append(m.prepared, platform.Txn{
		Conditions: []platform.Condition{m.lease.Condition()},
		Writes:     []platform.Write{{Key: "work", Value: []byte(strconv.FormatUint(m.lease.Token(), 10))}},
	})
}

func (w *world) send(t *rapid.T) {
	m := w.pickWith(t, (*member).hasPrepared)
	txn := m.prepared[0]
	m.prepared = m.prepared[1:]
	before := w.truth("work").Revision
	err := w.store.Table().Commit(t.Context(), txn)
	after := w.truth("work")
	if after.Revision == before {
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			w.tally.fenced++
		}
		return
	}
	w.tally.written++
	w.checkWrite(t, after)
}

// checkWrite fails if a newer token had been taken, or had written, before.
func (w *world) checkWrite(t *rapid.T, work platform.Row) {
	token, err := strconv.ParseUint(string(work.Value), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	fence, err := decode(w.truth("lease/compaction"))
	if err != nil {
		t.Fatal(err)
	}
	if token != fence.Token || token < w.highest {
		t.Fatalf("token %d wrote; the lease is at token %d and %d has written", token, fence.Token, w.highest)
	}
	w.highest = token
}

// truth reads a row past all switches.
func (w *world) truth(key string) platform.Row {
	row, _ := w.store.Fork().Table().Get(context.Background(), key)
	return row
}

// Three contenders with clocks that start anywhere and run at half to four
// times the speed are paused at any point, lose answers and read old rows. In
// the end two of them may both believe that they hold the lease. What must
// never happen is that a write of the older one lands after the newer one has
// taken it: two compactions would each delete what the other still needs.
func TestNoWriteAfterANewerTokenWasTaken(t *testing.T) {
	var n tally
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, &n)
		t.Repeat(map[string]func(*rapid.T){
			"wait": w.wait, "trouble": w.trouble, "acquire": w.acquire, "acquire again": w.acquire,
			"renew or release": w.renewOrRelease, "prepare": w.prepare, "send": w.send,
		})
	})
	if n.taken == 0 || n.written == 0 || n.fenced == 0 {
		t.Errorf("the property met too little: %+v", n)
	}
	t.Logf("%+v", n)
}

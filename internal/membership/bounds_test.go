package membership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

func alone(configure func(*Config)) *State {
	cfg := DefaultConfig(VM{ID: "vm-0", DataCentre: "dc-0", ControlAddr: "10.0.0.1:7000"})
	if configure != nil {
		configure(&cfg)
	}
	return New(cfg, epoch, rand.New(rand.NewPCG(1, 1)))
}

func goodRecord() *peerpb.Record {
	return &peerpb.Record{Id: "vm-1", DataCentre: "dc-0", ControlAddr: "10.0.0.2:7000", Incarnation: 1, Sequence: 1, State: uint32(VMAlive)}
}

func TestRefusedRecords(t *testing.T) {
	long := strings.Repeat("x", 257)
	tests := map[string]func(*peerpb.Record){
		"no id":               func(r *peerpb.Record) { r.Id = "" },
		"no data centre":      func(r *peerpb.Record) { r.DataCentre = "" },
		"no incarnation":      func(r *peerpb.Record) { r.Incarnation = 0 },
		"unknown state":       func(r *peerpb.Record) { r.State = 9 },
		"says itself dead":    func(r *peerpb.Record) { r.State = uint32(VMDead) },
		"long id":             func(r *peerpb.Record) { r.Id = long },
		"long address":        func(r *peerpb.Record) { r.CallAddr = long },
		"long reason":         func(r *peerpb.Record) { r.RefusedReason = long },
		"long hash":           func(r *peerpb.Record) { r.AppliedHash = make([]byte, 9) },
		"many backends":       func(r *peerpb.Record) { r.Backends = make([]*peerpb.Backend, 65) },
		"many notices":        func(r *peerpb.Record) { r.Notices = make([]*peerpb.Notice, 33) },
		"long service":        func(r *peerpb.Record) { r.Backends = []*peerpb.Backend{{Service: long, State: 1}} },
		"backend of no state": func(r *peerpb.Record) { r.Backends = []*peerpb.Backend{{Service: "s"}} },
		"too many slots":      func(r *peerpb.Record) { r.Backends = []*peerpb.Backend{{State: 1, Slots: maxSlots + 1}} },
		"long notice":         func(r *peerpb.Record) { r.Notices = []*peerpb.Notice{{Detail: long}} },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			s := alone(nil)
			bad := goodRecord()
			spoil(bad)
			msg := &peerpb.Membership{Kind: peerpb.Kind_KIND_PUSH, From: "vm-2", Records: []*peerpb.Record{bad, goodRecord()}}
			s.HandleRequest(epoch, "vm-2", msg)
			if st := s.Stats(); st.Refused != 1 || st.Records != 2 {
				t.Errorf("refused %d, holds %d", st.Refused, st.Records)
			}
		})
	}
}

func TestRecordsAreBounded(t *testing.T) {
	s := alone(func(c *Config) { c.Limits.Records = 10 })
	for i := range 20 {
		r := goodRecord()
		r.Id = fmt.Sprintf("vm-%d", i+1)
		s.HandleRequest(epoch, "vm-1", &peerpb.Membership{Kind: peerpb.Kind_KIND_PUSH, From: "vm-1", Records: []*peerpb.Record{r}})
	}
	if st := s.Stats(); st.Records != 11 || st.Refused != 10 {
		t.Errorf("holds %d, refused %d", st.Records, st.Refused)
	}
}

// A peer sends a full state of a few bytes that unpacks to gigabytes. Taken
// without a bound it would kill the joining node, and again at each restart.
func TestFullStateIsBounded(t *testing.T) {
	s := alone(func(c *Config) { c.Limits.FullStateBytes = 1 << 20 })
	bomb, err := compress(make([]byte, 8<<20))
	if err != nil {
		t.Fatal(err)
	}
	if s.takeFull(bomb, 0) {
		t.Error("taken")
	}
}

func TestOwnRecordIsBounded(t *testing.T) {
	s := alone(nil)
	if err := s.SetBackends(epoch, make([]Backend, 65)); !errors.Is(err, ErrRecordTooLarge) {
		t.Errorf("backends: %v", err)
	}
	if err := s.SetNotices(epoch, make([]Notice, 33)); !errors.Is(err, ErrRecordTooLarge) {
		t.Errorf("notices: %v", err)
	}
}

// A message under another name than the one that its certificate gives must
// change nothing.
func TestForeignSenderIsRefused(t *testing.T) {
	s := alone(nil)
	s.HandleRequest(epoch, "vm-3", &peerpb.Membership{Kind: peerpb.Kind_KIND_PUSH, From: "vm-2", Records: []*peerpb.Record{goodRecord()}})
	if st := s.Stats(); st.Refused != 1 || st.Records != 1 {
		t.Errorf("refused %d, holds %d", st.Refused, st.Records)
	}
}

// A claim with a sequence that this node never made can't make it raise its
// record to any number that a peer likes.
func TestOnlyTheOwnerRaisesSequence(t *testing.T) {
	s := alone(nil)
	before := s.self.stamp()
	forged := &peerpb.Claim{Id: "vm-0", Incarnation: before.incarnation, Sequence: 1 << 60}
	s.HandleRequest(epoch, "vm-2", &peerpb.Membership{Kind: peerpb.Kind_KIND_PUSH, From: "vm-2", Claims: []*peerpb.Claim{forged}})
	if s.self.stamp() != before {
		t.Errorf("raised to %v", s.self.stamp())
	}
	forged.Sequence = before.sequence
	s.HandleRequest(epoch, "vm-2", &peerpb.Membership{Kind: peerpb.Kind_KIND_PUSH, From: "vm-2", Claims: []*peerpb.Claim{forged}})
	if s.self.Sequence != before.sequence+1 {
		t.Errorf("not refuted: %v", s.self.stamp())
	}
}

func TestJoinsAreBounded(t *testing.T) {
	s := alone(nil)
	served := 0
	for i := range 100 {
		id := fmt.Sprintf("vm-%d", i+1)
		ans := s.HandleRequest(epoch, id, &peerpb.Membership{Kind: peerpb.Kind_KIND_JOIN, From: id})
		if len(ans.GetFull()) > 0 {
			served++
		} else if ans.GetRetryAfterMs() == 0 {
			t.Fatal("refused without a time to come back")
		}
	}
	if served != int(s.cfg.JoinBurst) {
		t.Errorf("%d served at once", served)
	}
}

// Messages are as large as the budget allows, whatever there is to tell.
func TestMessagesKeepTheBudget(t *testing.T) {
	w := warm(60, nil)
	for _, v := range w.nodes {
		for _, e := range v.entries {
			v.heat(e, 0)
		}
	}
	v := w.nodes[0]
	m := &peerpb.Membership{}
	v.fill(m, w.nodes[5].info.ID, nil)
	if n := proto.Size(m); n > v.cfg.MessageBytes+200 || n < v.cfg.MessageBytes/2 {
		t.Errorf("%d bytes", n)
	}
}

// FuzzHandle feeds a node any bytes that decode, as request and as answer.
func FuzzHandle(f *testing.F) {
	good, err := proto.Marshal(&peerpb.Membership{
		Kind: peerpb.Kind_KIND_SYNC, From: "vm-1", Records: []*peerpb.Record{goodRecord()},
		Buckets: make([]uint64, buckets), Digest: make([]byte, 30), Want: []uint64{1},
		Held: []*peerpb.Held{{All: true}}, Claims: []*peerpb.Claim{{Id: "vm-1", Dead: true}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{8, 200, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m peerpb.Membership
		if proto.Unmarshal(raw, &m) != nil {
			return
		}
		s := alone(func(c *Config) { c.Seeds = []string{"10.0.0.9:7000"} })
		s.accept(goodRecord(), 0)
		s.HandleRequest(epoch, m.GetFrom(), &m)
		now := epoch
		for range 100 {
			now = now.Add(tickEvery)
			for _, send := range s.Tick(now) {
				s.HandleAnswer(now, send.ID, &m)
			}
		}
		if n := len(s.View(now).Records); n > s.cfg.Limits.Records {
			t.Errorf("%d records", n)
		}
	})
}

// full returns a state with n records of others.
func full(n int) *State {
	s := alone(nil)
	for i := range n {
		r := goodRecord()
		r.Id = fmt.Sprintf("vm-%d", i+1)
		r.DataCentre = fmt.Sprintf("dc-%d", i%5)
		r.Backends = []*peerpb.Backend{{Service: fmt.Sprintf("service-%d", i%61), Instance: "i-1", Slots: 8, State: 2}}
		s.accept(r, 0)
	}
	clear(s.hot)
	s.becomeJoined()
	s.Tick(epoch.Add(tickEvery))
	s.View(epoch.Add(tickEvery))
	return s
}

func BenchmarkViewAfterOneChange(b *testing.B) {
	for _, n := range []int{12, 108, 240, 300, 600, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := full(n)
			b.ReportAllocs()
			for i := range b.N {
				r := goodRecord()
				r.Sequence = uint64(i + 2)
				s.accept(r, 0)
				s.View(epoch)
			}
		})
	}
}

// BenchmarkHeap reports the heap that one state with its view keeps.
func BenchmarkHeap(b *testing.B) {
	for _, n := range []int{12, 108, 240, 300, 600, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const states = 20
			for b.Loop() {
				before := heapBytes()
				var keep []*State
				for range states {
					keep = append(keep, full(n))
				}
				b.ReportMetric(float64(heapBytes()-before)/states, "heap-B")
				runtime.KeepAlive(keep)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkIdleTick(b *testing.B) {
	s := full(1200)
	now := epoch.Add(2 * tickEvery)
	s.nextProbe, s.nextCheck, s.nextSweep = now.Add(time.Hour), now.Add(time.Hour), now.Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		s.Tick(now)
	}
}

func BenchmarkAnswerProbe(b *testing.B) {
	s := full(1200)
	s.SetConfigStatus(epoch, ConfigStatus{Version: 5})
	m := &peerpb.Membership{Kind: peerpb.Kind_KIND_PROBE, From: "vm-5", Incarnation: 1, Sequence: 1, Digest: s.digest()}
	b.ReportAllocs()
	for b.Loop() {
		s.HandleRequest(epoch, "vm-5", m)
	}
}

func BenchmarkFullState(b *testing.B) {
	s := full(1200)
	b.ReportAllocs()
	for b.Loop() {
		s.full = nil
		b.SetBytes(int64(len(s.fullState())))
	}
}

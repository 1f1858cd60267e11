package membership

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// Bytes of HTTP and TLS around a request and an answer on a kept connection.
const (
	requestOverhead = 300
	answerOverhead  = 200
)

// traffic sums what one node sent and received, overhead included.
func traffic(v *vm) (messages, bytes uint64) {
	for _, t := range v.stats.Traffic {
		messages += t.Sent + t.Received
		bytes += t.SentBytes + t.ReceivedBytes + (t.Sent+t.Received)*(requestOverhead+answerOverhead)/2
	}
	return messages, bytes
}

// warm makes a mesh that has settled: every node starts with a full state.
func warm(n int, configure func(*Config)) *mesh {
	w := newMesh(n, 5, configure)
	for _, v := range w.nodes {
		_ = v.SetBackends(w.now, []Backend{{Service: fmt.Sprintf("service-%d", v.index%61), Instance: "i-1", Slots: 8, State: BackendReady, ReadySince: epoch.UnixMilli() + int64(v.index*7919)}})
		v.SetConfigStatus(w.now, ConfigStatus{Version: 1000})
	}
	for _, v := range w.nodes {
		for _, o := range w.nodes {
			if v != o {
				v.accept(encodeRecord(&o.self), 0)
				v.entries[o.info.ID].held = 1000
			}
		}
		clear(v.hot)
		v.becomeJoined()
	}
	w.run(time.Minute)
	return w
}

// measures is what one size of the mesh costs.
type measures struct {
	n                          int
	idleMean, idleMax          float64 // bytes a second a node, in and out
	requests                   float64 // messages a second a node
	peers                      float64 // distinct peers a node exchanged with
	baseHeartbeat, baseFull    float64
	age                        time.Duration // since the last word of a data centre, at worst
	change, urgent, applied    time.Duration // to reach all
	urgent99                   time.Duration // to reach 99%
	appliedBytes               float64       // a node, for one version
	suspicions, falses, deaths uint64        // under 5% loss in lossMinutes
}

const lossMinutes = 10

func cost(w *mesh, d time.Duration) (mean, worst, messages float64) {
	before := map[*vm][2]uint64{}
	for _, v := range w.nodes {
		m, b := traffic(v)
		before[v] = [2]uint64{m, b}
	}
	w.run(d)
	for _, v := range w.nodes {
		m, b := traffic(v)
		r := float64(b-before[v][1]) / d.Seconds()
		mean += r / float64(len(w.nodes))
		worst = max(worst, r)
		messages += float64(m-before[v][0]) / d.Seconds() / float64(len(w.nodes))
	}
	return mean, worst, messages
}

// reaches runs until the share of nodes for which f holds is reached.
func (w *mesh) reaches(share float64, f func(v *vm) bool) time.Duration {
	took, ok := w.runUntil(3*time.Minute, func() bool {
		n := 0
		for _, v := range w.nodes {
			if f(v) {
				n++
			}
		}
		return float64(n) >= share*float64(len(w.nodes))
	})
	if !ok {
		return -1
	}
	return took
}

func measure(n int) measures {
	m := measures{n: n}
	w := warm(n, nil)
	peers := map[[2]string]struct{}{}
	for _, v := range w.nodes {
		for _, e := range v.peers() {
			peers[[2]string{v.info.ID, e.rec.VM.ID}] = struct{}{}
		}
	}
	m.peers = float64(len(peers)) / float64(n)
	m.idleMean, m.idleMax, m.requests = cost(w, 2*time.Minute)
	m.baseHeartbeat, m.baseFull = baselines(w)

	first := w.nodes[n/2]
	has := func(v *vm) bool {
		e := v.entries[first.info.ID]
		return v == first || (e != nil && e.rec.Sequence == first.self.Sequence)
	}
	backend := first.self.Backends[0]
	backend.Slots++
	_ = first.SetBackends(w.now, []Backend{backend})
	m.change = w.reaches(1, has)
	w.run(time.Minute)
	backend.State = BackendDraining
	_ = first.SetBackends(w.now, []Backend{backend})
	m.urgent99 = w.reaches(0.99, has)
	m.urgent = m.urgent99 + w.reaches(1, has)
	w.run(time.Minute)

	idle, _, _ := cost(w, time.Minute)
	for _, v := range w.nodes {
		v.SetConfigStatus(w.now, ConfigStatus{Version: 1001})
	}
	begin := w.now
	before := sumBytes(w)
	m.applied = w.reaches(1, func(v *vm) bool { return v.allHold(1001) })
	w.run(2*time.Minute - w.now.Sub(begin))
	m.appliedBytes = float64(sumBytes(w)-before)/float64(n) - idle*120

	w.loss = 0.05
	s0, f0, b0 := suspicions(w)
	w.run(lossMinutes * time.Minute)
	s1, f1, b1 := suspicions(w)
	for range 60 {
		w.run(time.Second)
		m.age = max(m.age, w.oldest())
	}
	m.suspicions, m.falses, m.deaths = s1-s0, f1-f0, b1-b0
	return m
}

// oldest is the longest time since any node last had word of a data centre.
func (w *mesh) oldest() (age time.Duration) {
	for _, v := range w.nodes {
		for _, c := range v.centres {
			if c != v.home {
				age = max(age, w.now.Sub(c.heard))
			}
		}
	}
	return age
}

func (s *State) allHold(version uint64) bool {
	for _, e := range s.entries {
		if !e.dead && e.held < version {
			return false
		}
	}
	return true
}

func sumBytes(w *mesh) (sum uint64) {
	for _, v := range w.nodes {
		_, b := traffic(v)
		sum += b
	}
	return sum
}

func suspicions(w *mesh) (raised, falses, deaths uint64) {
	for _, v := range w.nodes {
		raised += v.stats.Suspicions
		falses += v.stats.FalseSuspicions
		deaths += v.stats.Deaths
	}
	return raised, falses, deaths
}

// baselines computes, from the same encoded records, what a node would send
// and receive in a second if each node told every other its record once in a
// probe period, and if each sent its full state to one peer a period.
func baselines(w *mesh) (heartbeat, full float64) {
	v := w.nodes[0]
	record := float64(proto.Size(encodeRecord(&v.self)))
	n := float64(len(w.nodes))
	period := v.cfg.ProbeEvery.Seconds()
	overhead := float64(requestOverhead + answerOverhead)
	heartbeat = 2 * (n - 1) * (record + overhead) / period
	full = 2 * (2*float64(len(v.fullState())) + overhead) / period
	return heartbeat, full
}

// TestMeasure prints what the protocol costs, for the sizes in
// MARLPASS_MEASURE, separated by commas. It judges nothing.
func TestMeasure(t *testing.T) {
	sizes := os.Getenv("MARLPASS_MEASURE")
	if sizes == "" {
		t.Skip("set MARLPASS_MEASURE=12,36,108,240 to measure")
	}
	for _, size := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		m := measure(n)
		fmt.Printf("n=%d peers=%.1f idle_B/s mean=%.0f max=%.0f messages/s=%.2f | heartbeat_B/s=%.0f (%.1fx) full_B/s=%.0f (%.1fx)\n",
			n, m.peers, m.idleMean, m.idleMax, m.requests, m.baseHeartbeat, m.baseHeartbeat/m.idleMean, m.baseFull, m.baseFull/m.idleMean)
		fmt.Printf("n=%d lazy=%v urgent99=%v urgent=%v applied=%v applied_B=%.0f | 5%% loss, %d min: suspicions=%d false=%d deaths=%d oldest word=%v\n",
			n, m.change, m.urgent99, m.urgent, m.applied, m.appliedBytes, lossMinutes, m.suspicions, m.falses, m.deaths, m.age)
	}
}

package membership

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestMeasureFaults prints how faults are found and got over, for the sizes in
// MARLPASS_MEASURE. It judges nothing.
func TestMeasureFaults(t *testing.T) {
	sizes := os.Getenv("MARLPASS_MEASURE")
	if sizes == "" {
		t.Skip("set MARLPASS_MEASURE=12,36,108,240 to measure")
	}
	for _, size := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		measureDeath(n)
		measureRelays(n)
		measureStorm(n)
		measurePush(n)
	}
}

// measureDeath stops one node.
func measureDeath(n int) {
	w := warm(n, nil)
	gone := w.nodes[n/2]
	w.stop(gone)
	suspects := func(v *vm) bool {
		r := v.View(w.now).Records[gone.info.ID]
		return v == gone || r == nil || r.State == VMSuspect
	}
	first := w.reaches(2/float64(n), suspects)
	all := w.reaches(1, suspects)
	heldDead := w.reaches(1, func(v *vm) bool { return v == gone || v.View(w.now).Records[gone.info.ID] == nil })
	fmt.Printf("n=%d one node dies: first suspicion after %v, all suspect after %v, all hold it dead after %v\n",
		n, first, first+all, first+all+heldDead)
}

// measureRelays compares false suspicions with and without indirect probes.
func measureRelays(n int) {
	for _, relays := range []int{3, 0} {
		w := warm(n, func(c *Config) { c.Relays = relays })
		w.loss = 0.05
		w.run(lossMinutes * time.Minute)
		_, falses, deaths := suspicions(w)
		fmt.Printf("n=%d 5%% loss, %d min, %d relays: false suspicions=%d deaths=%d\n", n, lossMinutes, relays, falses, deaths)
	}
}

// measureStorm stops three quarters of a data centre for a minute.
func measureStorm(n int) {
	w := warm(n, nil)
	var gone []*vm
	for i := 0; 4*len(gone) < 3*n/5; i += 5 {
		gone = append(gone, w.nodes[i])
		w.stop(w.nodes[i])
	}
	w.run(time.Minute)
	for _, v := range gone {
		w.start(v)
	}
	joined, peak := time.Duration(-1), uint64(0)
	begin := w.now
	var settled time.Duration
	before := map[*vm]uint64{}
	for settled = 0; settled < 2*time.Minute && (joined < 0 || !w.settled()); settled = w.now.Sub(begin) {
		for _, v := range w.nodes {
			_, before[v] = traffic(v)
		}
		w.run(time.Second)
		all := true
		for _, v := range w.nodes {
			_, b := traffic(v)
			peak = max(peak, b-before[v])
			all = all && v.Joined()
		}
		if all && joined < 0 {
			joined = w.now.Sub(begin)
		}
	}
	recalled := 0
	for _, v := range gone {
		if r := v.Recall(); r.Done && r.Version == 1000 {
			recalled++
		}
	}
	fmt.Printf("n=%d storm of %d: all joined after %v, all agree after %v, peak bytes/s of a node %d, joins refused %d, deaths %d, recalled the version %d\n",
		n, len(gone), joined, settled, peak, w.total(func(s Stats) uint64 { return s.JoinsRefused }),
		w.total(func(s Stats) uint64 { return s.Deaths }), recalled)
}

func (w *mesh) total(f func(Stats) uint64) (sum uint64) {
	for _, v := range w.nodes {
		sum += f(v.Stats())
	}
	return sum
}

// measurePush compares what one change of a backend server costs when it waits
// for the next messages and when it is pushed.
func measurePush(n int) {
	for _, push := range []bool{false, true} {
		w := warm(n, func(c *Config) { c.PushAllChanges = push })
		idle, _, _ := cost(w, 2*time.Minute)
		v := w.nodes[n/2]
		backend := v.self.Backends[0]
		backend.Slots++
		before := sumBytes(w)
		_ = v.SetBackends(w.now, []Backend{backend})
		has := func(o *vm) bool { return o == v || o.entries[v.info.ID].rec.Sequence == v.self.Sequence }
		half := w.reaches(0.5, has)
		all := half + w.reaches(1, has)
		w.run(2*time.Minute - all)
		fmt.Printf("n=%d a change, pushed %v: half after %v, all after %v, %.0f bytes a node\n",
			n, push, half, all, float64(sumBytes(w)-before)/float64(n)-idle*120)
	}
}

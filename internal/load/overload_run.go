package load

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
)

// Callers is what callers do when a call fails.
type Callers string

// Kinds of callers. A crowd sends a call up to crowdSendings times in all, but a
// booking only after it was told that it was not run.
const (
	CallersOnce   Callers = "once"    // give up
	CallersAtOnce Callers = "at once" // send again at once
	CallersHonour Callers = "honour"  // send again after the time in Retry-After
	crowdSendings         = 4
	honourDefault         = time.Second // where no Retry-After came
	overloadBlob          = 4 << 10
)

// trafficOptions describe one run of the traffic.
type trafficOptions struct {
	prefix  string // begins the identity of every call
	load    float64
	callers Callers
	warm    time.Duration // sent, not counted
	window  time.Duration // counted
	seed    uint64
}

// classCounts counts what became of one class's calls. Only what happens in the
// window counts: calls that come in it, and answers that come in it.
type classCounts struct {
	class *workClass

	mu       sync.Mutex // guards what follows
	offered  int        // first sendings
	sent     int        // all sendings
	answered int
	within   int // answered within the class's answer time
	refused  int // sendings that were not run
	failed   int // other statuses, broken and damaged answers
	work     time.Duration
	useful   time.Duration // work of answers within the answer time
	latency  *hdrhistogram.Histogram
}

// traffic is one run of the traffic.
type traffic struct {
	trafficOptions
	m        *overloadMesh
	from, to time.Time // the window
	counts   []*classCounts
	calls    sync.WaitGroup
}

// run sends calls of all classes at random distances, until the window ends, and
// then gives up on those still under way.
func (m *overloadMesh) run(ctx context.Context, classes []workClass, o trafficOptions) []*classCounts {
	start := time.Now()
	t := &traffic{trafficOptions: o, m: m, from: start.Add(o.warm), to: start.Add(o.warm + o.window)}
	ctx, cancel := context.WithDeadline(ctx, t.to)
	defer cancel()
	var senders sync.WaitGroup
	for i := range classes {
		y := &classCounts{class: &classes[i], latency: newHistogram()}
		t.counts = append(t.counts, y)
		senders.Go(func() { t.send(ctx, y, start, rand.New(rand.NewPCG(o.seed, uint64(i)))) })
	}
	senders.Wait()
	t.calls.Wait()
	// The next run is on another mesh, and the machine's files are few.
	m.transport.CloseIdleConnections()
	return t.counts
}

// send is the open loop of one class. Its random numbers depend on the seed
// alone, so that every policy gets the same calls.
func (t *traffic) send(ctx context.Context, y *classCounts, start time.Time, r *rand.Rand) {
	rate := y.class.rate(overloadTotal, t.load)
	due := start
	for i := 0; ; i++ {
		due = due.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		work := time.Duration(r.ExpFloat64() * float64(y.class.mean))
		if !due.Before(t.to) {
			return
		}
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			return
		}
		c := &overloadCall{
			t: t, y: y, id: t.prefix + y.class.name + idSep + strconv.Itoa(i), work: work,
			entry: t.m.entries[i%len(t.m.entries)],
		}
		at := due // due moves on
		t.calls.Go(func() { c.make(ctx, at) })
	}
}

// idSep stands in an identity between the class and the number.
const idSep = "#"

// classOf returns the class from an identity.
func classOf(id string) string {
	head, _, _ := strings.Cut(id, idSep)
	return head[strings.LastIndexByte(head, '/')+1:]
}

// inWindow reports whether now is in the window.
func (t *traffic) inWindow(now time.Time) bool { return !now.Before(t.from) && now.Before(t.to) }

// overloadCall is one call of one caller.
type overloadCall struct {
	t     *traffic
	y     *classCounts
	id    string
	work  time.Duration
	entry string
}

// sendingResult is what became of one sending of a call.
type sendingResult struct {
	out        Outcome
	retryAfter time.Duration
}

// make sends the call, and again as its caller does.
func (c *overloadCall) make(ctx context.Context, due time.Time) {
	c.y.offer(c.t.inWindow(due))
	for n := 1; ; n++ {
		res := c.sendOnce(ctx)
		now := time.Now()
		if ctx.Err() != nil {
			return // the window is over
		}
		c.y.add(c.t.inWindow(now), res.out, now.Sub(due), c.work)
		if res.out == Answered || n == crowdSendings || !c.again(ctx, res) {
			return
		}
		due = time.Now()
	}
}

// again does as the caller does before the next sending, if there is one.
func (c *overloadCall) again(ctx context.Context, res sendingResult) bool {
	if c.t.callers == CallersOnce || res.out != Refused && !c.y.class.idempotent {
		return false
	}
	if c.t.callers == CallersAtOnce {
		return true
	}
	wait := time.NewTimer(res.retryAfter)
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// blob is the body of every request that has one.
var blob = bytes.Repeat([]byte("x"), overloadBlob)

func (c *overloadCall) sendOnce(ctx context.Context) sendingResult {
	class := c.y.class
	url := c.entry + class.path + "?time=" + strconv.FormatInt(int64(c.work), 10) + "ns&bytes=" + strconv.Itoa(class.bytes)
	req, err := http.NewRequestWithContext(ctx, class.method, url, bytes.NewReader(blob[:class.body]))
	if err != nil {
		return sendingResult{out: Failed}
	}
	req.Header[backend.HeaderRequest] = []string{c.id}
	resp, err := c.t.m.transport.RoundTrip(req)
	if err != nil {
		return sendingResult{out: Failed, retryAfter: honourDefault}
	}
	defer resp.Body.Close()
	res := sendingResult{out: Failed, retryAfter: retryAfter(resp.Header)}
	switch {
	case resp.Header.Get(call.HeaderNotRun) != "":
		res.out = Refused
	case resp.StatusCode != http.StatusOK:
	case backend.CheckAnswer(c.id, resp.Body) != nil:
		res.out = Incomplete
	default:
		res.out = Answered
	}
	return res
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil {
		return honourDefault
	}
	return time.Duration(n) * time.Second
}

func (y *classCounts) offer(counts bool) {
	if !counts {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.offered++
}

// add counts one sending that has ended.
func (y *classCounts) add(counts bool, out Outcome, took, work time.Duration) {
	if !counts {
		return
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	y.sent++
	switch out {
	case Refused:
		y.refused++
	case Answered:
		y.answered++
		y.work += work
		if took <= y.class.within {
			y.within++
			y.useful += work
		}
		_ = y.latency.RecordValue(min(max(took.Microseconds(), lowest), highest))
	default:
		y.failed++
	}
}

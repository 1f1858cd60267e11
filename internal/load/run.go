package load

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
)

// Range of the histograms, in microseconds.
const (
	lowest  = 1
	highest = int64(2 * time.Minute / time.Microsecond)
	digits  = 3
)

// Options describe one stream of calls.
type Options struct {
	URL    string // of the calls, with path and query
	Rate   float64
	For    time.Duration
	Client *http.Client
	// Prefix begins the identity of every call.
	Prefix string
	Method string
	Header http.Header
}

// Result is what became of a stream of calls.
type Result struct {
	Sent       int
	Answered   int // with a complete answer of the call's own
	Refused    int // told that it was not run
	Failed     int // any other status, or no answer
	Incomplete int // an answer that was cut, damaged or another call's
	Latency    *hdrhistogram.Histogram
	// NotRun holds the calls that were told that they were not run.
	NotRun []string
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, digits)
}

// stream is a running stream.
type stream struct {
	o  Options
	mu sync.Mutex // guards r
	r  Result
	wg sync.WaitGroup
}

// Run sends calls at even distances and returns when all have ended.
func Run(ctx context.Context, o Options) Result {
	s := &stream{o: o, r: Result{Latency: newHistogram()}}
	every := time.Duration(float64(time.Second) / o.Rate)
	n := int(o.Rate * o.For.Seconds())
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(i) * every)
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		s.wg.Add(1)
		go s.one(ctx, o.Prefix+strconv.Itoa(i), due)
	}
	s.wg.Wait()
	return s.r
}

// one makes one call and counts what became of it.
func (s *stream) one(ctx context.Context, id string, due time.Time) {
	defer s.wg.Done()
	out := Do(ctx, &s.o, id)
	took := time.Since(due)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.r.Sent++
	switch out {
	case Answered:
		s.r.Answered++
		_ = s.r.Latency.RecordValue(min(max(took.Microseconds(), lowest), highest))
	case Refused:
		s.r.Refused++
		s.r.NotRun = append(s.r.NotRun, id)
	case Incomplete:
		s.r.Incomplete++
	default:
		s.r.Failed++
	}
}

// Outcome is what became of one call as its caller sees it.
type Outcome int

// Outcomes of a call.
const (
	Answered Outcome = iota
	Refused
	Incomplete
	Failed
)

// Do makes the call id once and checks its answer.
func Do(ctx context.Context, o *Options, id string) Outcome {
	req, err := http.NewRequestWithContext(ctx, o.Method, o.URL, nil)
	if err != nil {
		return Failed
	}
	for name, values := range o.Header {
		req.Header[name] = values
	}
	req.Header[backend.HeaderRequest] = []string{id}
	resp, err := o.Client.Do(req)
	if err != nil {
		return Failed
	}
	defer resp.Body.Close()
	if resp.Header.Get(call.HeaderNotRun) != "" {
		return Refused
	}
	if resp.StatusCode != http.StatusOK {
		return Failed
	}
	if err := backend.CheckAnswer(id, resp.Body); err != nil {
		return Incomplete
	}
	return Answered
}

// errWarm means that the first connections could not be made.
var errWarm = errors.New("load: no answer while warming up")

// Warm makes calls one after another until n connections have been used, so
// that a measurement does not begin with dialling.
func Warm(ctx context.Context, o Options, n int) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	good := 0
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if Do(ctx, &o, o.Prefix+"warm"+strconv.Itoa(i)) == Answered {
				mu.Lock()
				good++
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	if good == 0 {
		return errWarm
	}
	return nil
}

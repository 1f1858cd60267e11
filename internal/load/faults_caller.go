package load

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/backend"
	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/message"
)

// faultCall is one call of a caller, with all its resends.
type faultCall struct {
	class *faultClass
	// id is what backend servers count the runs by: the idempotency key of a
	// keyed call, and the name of the request of any other.
	id       string
	path     string // below that of the class
	body     string
	header   http.Header
	patience time.Duration // of the caller with one sending; the deadline if 0
	deadline time.Duration
	stubborn bool // is sent again whatever the answer
}

// seen is what a caller saw of one call.
type seen struct {
	call       *faultCall
	sendings   int
	answered   bool
	notRun     int // sendings that were told so
	unknown    int // sendings that were told that they may have run
	failed     int // sendings with a server error from a backend server
	broken     int // sendings whose connection broke before the answer was whole
	silent     int // sendings without an answer within the caller's patience
	partial    int // answers that ended cleanly, and were not whole or not its own
	locked     bool
	reused     bool // refused since the key is another request's
	latency    time.Duration
	unanswered bool          // the last sending got nothing
	began      time.Duration // since the fault's beginning
	reasons    []string      // of the sendings that were not run
}

// Times of a caller.
const (
	resendPause = 50 * time.Millisecond
	// callerGrace is how long after the deadline an answer may still arrive.
	callerGrace  = time.Second
	maxSendings  = 40
	refusedAgain = 3 // sendings after which a refusal is taken
)

// caller makes calls at whichever entry nodes there are.
type caller struct {
	client  *http.Client
	entries func() []string
}

func newCaller(entries func() []string) *caller {
	return &caller{entries: entries, client: &http.Client{Transport: message.NewTransport(&http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: callerIdle,
	})}}
}

const callerIdle = 30 * time.Second

// do makes a call and sends it again where a careful caller would: another
// entry node after a broken connection or a refusal that may pass, if the call
// is idempotent, keyed, or was not run.
func (c *caller) do(ctx context.Context, k *faultCall) *seen {
	s := &seen{call: k}
	start := time.Now()
	deadline := start.Add(k.deadline)
	last := ""
	for s.sendings < maxSendings {
		last = c.pick(last)
		out := c.send(ctx, k, s, last, deadline)
		s.latency = time.Since(start)
		s.unanswered = out == sendBroken || out == sendSilent
		if !c.again(k, s, out) || time.Until(deadline) < resendPause || ctx.Err() != nil {
			return s
		}
		time.Sleep(resendPause)
	}
	return s
}

// again reports whether the caller sends the call once more.
func (c *caller) again(k *faultCall, s *seen, out sendOutcome) bool {
	repeats := k.class.idempotent || k.class.keyed
	switch out {
	case sendAnswered, sendPartial, sendFinal:
		return k.stubborn
	case sendNotConnected:
		return true
	case sendNotRun:
		return k.stubborn || s.notRun < refusedAgain
	case sendBroken, sendSilent:
		return repeats || k.stubborn
	}
	return k.class.keyed || k.stubborn
}

// pick returns an entry node, another than the last if there is one.
func (c *caller) pick(last string) string {
	all := c.entries()
	if len(all) == 0 {
		return last
	}
	at := rand.IntN(len(all))
	if all[at] == last {
		at = (at + 1) % len(all)
	}
	return all[at]
}

// sendOutcome is what became of one sending.
type sendOutcome int

const (
	sendAnswered     sendOutcome = iota
	sendNotRun                   // not run, and may be later or elsewhere
	sendFinal                    // an answer that no resend changes
	sendUnknown                  // may have run
	sendFailed                   // a server error
	sendBroken                   // the connection broke
	sendSilent                   // no answer in time
	sendPartial                  // an answer that is not whole or another's
	sendNotConnected             // no connection, so nothing was sent
)

func (c *caller) send(ctx context.Context, k *faultCall, s *seen, entry string, deadline time.Time) sendOutcome {
	wait := time.Until(deadline) + callerGrace
	if k.patience > 0 {
		wait = min(wait, k.patience)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := k.request(ctx, entry, deadline)
	if err != nil {
		return sendFinal
	}
	s.sendings++
	resp, err := c.client.Do(req)
	if err != nil {
		return s.noAnswer(ctx, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return s.noAnswer(ctx, err)
	}
	return s.judge(resp, b)
}

func (k *faultCall) request(ctx context.Context, entry string, deadline time.Time) (*http.Request, error) {
	url := "http://" + entry + k.class.path + k.path
	if k.class.query != "" {
		url += "?" + k.class.query
	}
	var body io.Reader
	if k.class.method == http.MethodPost {
		body = strings.NewReader(k.body)
	}
	req, err := http.NewRequestWithContext(ctx, k.class.method, url, body)
	if err != nil {
		return nil, err
	}
	for name, values := range k.header {
		req.Header[name] = values
	}
	req.Header.Set(backend.HeaderRequest, k.id)
	if k.class.keyed {
		req.Header.Set(call.HeaderKey, k.id)
	}
	if k.patience == 0 {
		left := max(time.Until(deadline), time.Millisecond)
		req.Header.Set(call.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	}
	return req, nil
}

// noAnswer tells what a failed sending was.
func (s *seen) noAnswer(ctx context.Context, err error) sendOutcome {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		s.silent++
		return sendSilent
	case errors.As(err, &op) && op.Op == "dial":
		return sendNotConnected
	}
	s.broken++
	return sendBroken
}

// judge tells what a whole answer was.
func (s *seen) judge(resp *http.Response, body []byte) sendOutcome {
	if why := resp.Header.Get(call.HeaderNotRun); why != "" {
		s.notRun++
		s.reasons = append(s.reasons, why)
		s.locked = s.locked || why == string(call.ReasonQuarantined) || why == string(call.ReasonHeldBack)
		s.reused = s.reused || why == string(call.ReasonKeyReused)
		if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusMisdirectedRequest {
			return sendNotRun
		}
		return sendFinal
	}
	if resp.StatusCode == http.StatusOK {
		if backend.CheckAnswer(s.call.id, strings.NewReader(string(body))) != nil {
			s.partial++
			return sendPartial
		}
		s.answered = true
		return sendAnswered
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		s.unknown++
		if resp.StatusCode == http.StatusConflict {
			return sendFinal
		}
		return sendUnknown
	}
	s.failed++
	return sendFailed
}

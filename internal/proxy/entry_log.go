package proxy

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/call"
	"github.com/marlpass/marlpass/internal/decisions"
	"github.com/marlpass/marlpass/internal/retry"
	"github.com/marlpass/marlpass/internal/telemetry"
)

// logLine begins a log line about c with the common fields. It returns nil if the decision isn't
// logged.
func (e *Entry) logLine(now time.Time, k decisions.Kind, c *entryCall) *zerolog.Event {
	l := e.Decisions.Line(now, k, c.id)
	if l == nil {
		return nil
	}
	if c.target != nil {
		l.Str("class", telemetry.Label(c.target.Name)).Str("service", telemetry.Label(c.target.Service))
	}
	if before := c.start.Sub(c.firstAttempt); before > 0 {
		l.Int64("before_ms", before.Milliseconds()) // since the caller's first, refused attempt
	}
	if n := len(c.search.rejected); n > 0 {
		l.Int("looks", n)
	}
	if c.root.known {
		l.Str("root", telemetry.Label(c.root.Class))
	}
	return l.Uint64("version", c.version).Int("attempts", c.attempts).Int("reached", c.reached).
		Int64("after_ms", now.Sub(c.start).Milliseconds())
}

// remainingMS returns the time until c's deadline in milliseconds.
func (c *entryCall) remainingMS(now time.Time) int64 { return c.deadline.Sub(now).Milliseconds() }

func (e *Entry) logRefusal(c *entryCall, r *call.Refusal) {
	now := e.Now()
	e.logLine(now, decisions.Refused, c).Str("reason", string(r.Reason)).Str("detail", r.Detail).
		Int64("left_ms", c.remainingMS(now)).Int64("come_back_ms", r.RetryAfter.Milliseconds()).
		Msg("entry: refuse the call as not run")
}

func (e *Entry) logUnknown(now time.Time, c *entryCall) {
	e.logLine(now, decisions.Unknown, c).AnErr("cause", c.unknownErr).Int64("left_ms", c.remainingMS(now)).
		Strs("tried", c.tried).Msg("entry: tell the caller that the call may have run")
}

func (e *Entry) logRetry(c *entryCall, ep Endpoint, a *answer, d retry.Decision) {
	now := e.Now()
	l := e.logLine(now, decisions.Retried, c).Str("endpoint", ep.ID).Str("why", string(d.Reason)).Int64("left_ms", c.remainingMS(now))
	if a.refusal != nil {
		l = l.Str("reason", string(a.refusal.Reason)).Str("detail", a.refusal.Detail)
	}
	l.AnErr("cause", a.err).Msg("entry: send the call to another endpoint")
}

// logAnswer logs an answer that was cut off, failed or late, and counts all others.
func (e *Entry) logAnswer(now time.Time, c *entryCall, endpoint string, a *answer, p relayResult) {
	took, latencyTarget := now.Sub(c.start), c.target.AnswerWithin()
	kind, text := decisions.Kind(""), ""
	switch {
	case p.partial || p.readerGone:
		kind, text = decisions.Cut, "entry: the answer was cut off, or the caller left"
	case a.resp.StatusCode >= http.StatusInternalServerError:
		kind, text = decisions.Failed, "entry: relay a server error of the backend server"
	case latencyTarget > 0 && took > latencyTarget:
		kind, text = decisions.Late, "entry: the answer is later than the class aims at"
	default:
		e.Decisions.Answered(c.target.Name, endpoint)
		return
	}
	e.logLine(now, kind, c).Str("endpoint", endpoint).Int("status", a.resp.StatusCode).
		Int64("waited_ms", a.took.wait.Milliseconds()).Int64("ran_ms", a.took.run.Milliseconds()).
		Int64("aim_ms", latencyTarget.Milliseconds()).Int64("bytes", p.bytes).Bool("partial", p.partial).Msg(text)
}

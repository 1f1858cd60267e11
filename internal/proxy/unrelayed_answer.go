package proxy

import (
	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/telemetry"
)

// unrelayedAnswer describes an answer of a backend server that isn't relayed, for log lines.
type unrelayedAnswer struct {
	status           int
	callID, instance string // that the answer names, or ""
	connCalls        uint64 // calls that used the connection, including this one
}

// unrelayedAs describes the answer a as evaluated by info.
func (a *answer) unrelayedAs(info *ResponseInfo) *unrelayedAnswer {
	r := &unrelayedAnswer{status: a.resp.StatusCode, callID: info.CallID, instance: info.Instance}
	if b, ok := a.resp.Body.(*answerBody); ok {
		r.connCalls = b.attempt.connCalls()
	}
	return r
}

// addTo adds the answer to a log line; nil adds nothing.
func (r *unrelayedAnswer) addTo(l *zerolog.Event) *zerolog.Event {
	if r == nil {
		return l
	}
	return l.Int("status", r.status).Str("answer_call", telemetry.Label(r.callID)).Str("answer_instance", telemetry.Label(r.instance)).
		Uint64("connection_calls", r.connCalls)
}

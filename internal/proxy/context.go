package proxy

import (
	"context"
	"net/http/httptrace"
	"time"
)

// attemptContext is the context of one attempt: that of the call, with the
// hooks of the attempt and the moment by which a connection must stand. It is
// one allocation in place of one for each value.
type attemptContext struct {
	context.Context
	trace        *httptrace.ClientTrace
	dialDeadline time.Time
}

// attemptKey is the key under which an attemptContext finds itself.
type attemptKey struct{}

// Value returns the attempt's own values, and else those of the call.
func (c *attemptContext) Value(key any) any {
	switch key {
	case traceKey:
		return c.trace
	case any(attemptKey{}):
		return c
	}
	return c.Context.Value(key)
}

// dialBy returns the moment by which the connection of an attempt must stand.
// The transport dials with a context that keeps the values of the attempt's,
// but not its cancellation.
func dialDeadline(ctx context.Context) (time.Time, bool) {
	c, ok := ctx.Value(attemptKey{}).(*attemptContext)
	if !ok {
		return time.Time{}, false
	}
	return c.dialDeadline, true
}

// traceKey is the key under which httptrace looks for its hooks.
var traceKey = findTraceKey()

// keySpy notes the key that it is asked for.
type keyRecorder struct {
	context.Context
	key any
}

// Value notes key.
func (s *keyRecorder) Value(key any) any {
	s.key = key
	return nil
}

func findTraceKey() any {
	s := &keyRecorder{Context: context.Background()}
	httptrace.ContextClientTrace(s)
	return s.key
}

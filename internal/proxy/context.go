package proxy

import (
	"context"
	"net/http/httptrace"
	"time"
)

// attemptContext is the context of one attempt: that of the call, with the trace hooks and the dial
// deadline of the attempt. It replaces one context allocation for each value.
type attemptContext struct {
	context.Context
	trace        *httptrace.ClientTrace
	dialDeadline time.Time
}

// attemptKey is the context key of the attemptContext itself.
type attemptKey struct{}

// Value returns the attempt's own values, or else those of the call.
func (c *attemptContext) Value(key any) any {
	switch key {
	case traceKey:
		return c.trace
	case any(attemptKey{}):
		return c
	}
	return c.Context.Value(key)
}

// dialDeadline returns the time by which the connection of an attempt must be established. The
// transport dials with a context that keeps the values of the attempt's context, but not its
// cancellation.
func dialDeadline(ctx context.Context) (time.Time, bool) {
	c, ok := ctx.Value(attemptKey{}).(*attemptContext)
	if !ok {
		return time.Time{}, false
	}
	return c.dialDeadline, true
}

// traceKey is the context key under which httptrace stores its hooks.
var traceKey = findTraceKey()

// keyRecorder records the key that Value is called with.
type keyRecorder struct {
	context.Context
	key any
}

// Value records key.
func (s *keyRecorder) Value(key any) any {
	s.key = key
	return nil
}

func findTraceKey() any {
	s := &keyRecorder{Context: context.Background()}
	httptrace.ContextClientTrace(s)
	return s.key
}

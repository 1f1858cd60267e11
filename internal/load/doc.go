// Package load sends calls in an open loop and checks every answer. The moments
// of the calls are fixed ahead, and latency counts from the moment that a call
// was due, not from when it could be sent: a system that makes its callers wait
// cannot hide it by slowing them down.
package load

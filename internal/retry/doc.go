// Package retry decides whether a call is sent again after an attempt.
//
// Three rules bound it. A call that is not idempotent is sent again only after
// an attempt that was not run. Every retry is paid for from a budget that the
// calls of the service fill. And a call is retried at one level only: by the
// entry node next to the destination that failed it. What that node gives up
// on is answered at once and marked final (HeaderFinal), and a call that is
// itself below a retry (HeaderRetried) is not retried further down.
//
// docs/design/retries.md gives the reasons and the figures.
package retry

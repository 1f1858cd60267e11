// Package retry decides whether a call is retried after a failed attempt.
//
// Three rules limit retries. A call that is not idempotent is retried only
// after an attempt that did not run. Every retry is charged to a retry budget
// that grows with the calls of the service. And a call is retried at one level
// of a call chain only: by the entry node next to the destination that failed
// it. When that node gives up, it answers at once and marks the answer final
// (HeaderFinal); a call made on behalf of a retried call (HeaderRetried) is not
// retried further down the chain.
//
// docs/design/retries.md gives the reasons and the figures.
package retry

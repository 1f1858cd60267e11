// Package route picks the endpoint that a call is sent to.
//
// An entry node keeps one Picker per service. The Picker gets the endpoints from the membership
// view (Update) and their behaviour from the calls themselves (Choice.Done). It opens no socket,
// starts no goroutine and sends no probe, since a probe would cost a backend server as much as a
// call.
//
// A pick compares the endpoint of the node's subset that is next in round-robin order with a random
// one, and takes the second if it is clearly cheaper. The cost of an endpoint is its load per slot,
// increased if its answers are slower than those of the others, if its calls fail, or if the
// membership suspects its VM. In its slow start an endpoint is drawn less often. Reported load
// counts for less the older the report is.
//
// A call that needs a free slot instead of a place in a queue is sent to the endpoint on its own
// VM, or to one whose last answer reported a free slot (PickFreeSlot).
//
// Endpoints whose calls fail are ejected, up to a maximum share of the service, and are readmitted
// after successful trial calls. docs/design/picking.md gives the reasons and the figures.
package route

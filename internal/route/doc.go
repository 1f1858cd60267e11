// Package route picks the endpoint that a call is sent to.
//
// An entry node keeps one Picker for each service. The Picker learns of
// endpoints from the membership view (Update) and of how they do from the
// calls themselves (Choice.Done). It opens no socket, starts no goroutine and
// sends no probe: a probe would cost a backend server as much as a call.
//
// A pick compares the endpoint of the node's subset whose turn it is to one
// drawn at random, and takes the second if it is clearly cheaper. The cost of an endpoint is its load per slot, made
// larger when its answers are slower than those of the others, when its calls
// fail, when it is in its slow start and when the membership suspects its VM.
// What an endpoint says of its own load counts for less the older it is.
//
// A call that looks for a free slot, rather than for one to wait for, is sent to the
// endpoint on its own VM or to one whose last answer told of a free slot (PickFreeSlot).
//
// Endpoints whose calls fail are ejected, never more than a set share of the
// service, and return by single real calls. docs/design/picking.md gives the
// reasons and the figures.
package route

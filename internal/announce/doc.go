// Package announce is how backend servers tell the node on their VM about
// themselves: a small HTTP API on loopback, and the Registry of what they said.
//
// The protocol is a lease. A backend server puts its service, address, slots,
// state and load; the answer says how long that holds and how often to renew
// it. One that falls silent expires. It announces state draining before it
// stops, and withdraws when its last call is done.
//
// The Registry decides and takes its time as an argument. It publishes an
// immutable list through an atomic pointer, so that a call reads it without a
// lock. The Server is the HTTP side, and tells the node of every change that
// the mesh has to hear of.
package announce

// Package announce implements the API through which backend servers register
// with the node on their VM: a small HTTP API on loopback, and the Registry of
// their announcements.
//
// Registrations are leases. A backend server puts its service, address, slots,
// state and load; the answer holds the duration of the lease and the renewal
// interval. A lease that is not renewed expires. A backend server announces the
// state draining before it stops, and withdraws when its last call is done.
//
// The Registry holds the logic and takes the time as an argument. It publishes
// an immutable list through an atomic pointer, so that the call path reads it
// without a lock. The Server is the HTTP side, and notifies the node of every
// change that has to be published to the mesh.
package announce

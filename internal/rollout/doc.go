// Package rollout moves the calls of a service to another version of its backend
// servers, whole or back.
//
// An operator orders a rollout: a service, a target version and a duration. The
// backend servers of the target version run beside those of the baseline. One node,
// the conductor, holds a lease on the rollout and decides:
//
//	running    some servers of the target version, the canaries, take a bounded
//	           number of calls; then, shortly before the end, all of them do
//	draining   the baseline takes no new call and ends those it has
//	completed  or rolled back: final, and they exclude each other
//
// Each change of the phase is a write to the platform's table under the lease's
// fencing token, ahead of what follows from it.
//
// The bound on what a bad version gets is kept at the destination: the node beside a
// server of the target version admits calls under a grant only, which names a number
// of calls and lapses by itself. Whoever decides may be killed, cut off or paused, and
// no server takes more than its last grant. Entry nodes know nothing of rollouts; they
// see servers that take calls and servers that don't.
//
// Coordinator, AdmissionController and Compare are pure: the clock is an argument.
package rollout

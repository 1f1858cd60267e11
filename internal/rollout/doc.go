// Package rollout moves the calls of a service to another version of its backend servers,
// completely or not at all.
//
// An operator orders a rollout: a service, a target version and a duration. The backend servers of
// the target version run beside those of the baseline. One node, the coordinator, holds a lease on
// the rollout and decides its phase:
//
//	running    some servers of the target version, the canaries, take a bounded
//	           number of calls; then, shortly before the end, all of them do
//	draining   the baseline takes no new calls and ends those it has
//	completed  or rolled back: final, and mutually exclusive
//
// Each change of the phase is a write to the platform's table under the lease's fencing token,
// before any of its effects.
//
// The number of calls to a bad version is bounded at the destination: the node beside a server of
// the target version admits calls only under a grant, which names a number of calls and expires.
// The coordinator may be killed, partitioned or paused, and no server takes more than its last
// grant. Entry nodes do not know of rollouts; they see servers that take calls and servers that
// don't.
//
// The reports of servers are running totals. The coordinator compares the calls between two reports of
// each canary with the baseline's calls of the same time, so a report that is late or lost costs time and
// no evidence. It grants calls, opens servers and promotes the version on calls that were compared; a
// version that gets calls which can't be compared in time is rolled back.
//
// Coordinator, AdmissionController and Compare take the clock as an argument and do no I/O.
package rollout

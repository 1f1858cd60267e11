// Package quota keeps the calls of each workspace within its quota over the whole mesh.
//
// Every node counts the calls of each workspace that enter there. Several times a second it tells
// a collector, a feeder of its data centre, what was asked for and what passed, and the answer
// names the workspaces whose calls may not all pass, with the part that may. A node whose calls
// come much faster than usual tells it sooner. Collectors tell each other the sums of their
// data centres, so each of them knows what the whole mesh takes.
//
// A collector keeps a token bucket for each workspace: it fills at the workspace's rate up to
// its burst, and all calls that passed anywhere empty it. What may pass from now on is the rate
// and what the bucket holds, spread over a moment. Divided by what is asked for, that is the
// part. No quota is cut into shares: where a workspace asks for less than its quota, all of its
// calls pass, wherever they enter.
//
// A node that reaches no collector keeps the calls of each workspace to what they were before,
// or to an equal share of the quota if that is more. Collectors count a node or a data centre
// that they hear nothing of as taking what it took last.
//
// Limiter is the node's side and safe for concurrent use. Collector takes the clock as an
// argument and does no I/O.
package quota

// Package quota keeps the calls of each workspace within one quota for the whole mesh.
//
// Every node counts the calls of each workspace that enter there. Several times a second it
// reports the requested and the admitted calls to a collector, which is a feeder of its data
// centre. The response lists the workspaces that are over their quota, each with the ratio of
// its calls to admit. A node that sees a surge of calls reports earlier. Collectors exchange the
// totals of their data centres, so each of them knows the usage of the whole mesh.
//
// A collector keeps a token bucket for each workspace. It fills at the workspace's rate up to its
// burst, and every call that any node admits takes a token. The admission ratio is the rate plus
// the tokens in the bucket, spread over a short time, divided by the demand. No quota is
// partitioned among nodes: as long as a workspace's demand is below its quota, all of its calls
// are admitted, wherever they enter.
//
// A node that reaches no collector limits each workspace to its previous admitted rate, or to an
// equal share of the quota if that is more. For a node or a data centre that stops reporting,
// collectors reserve the share of the quota that it used last.
//
// Limiter is the node's side and safe for concurrent use. Collector takes the clock as an
// argument and does no I/O.
package quota

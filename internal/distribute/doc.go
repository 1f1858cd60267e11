// Package distribute brings every accepted configuration version to every node, and never reverts a
// node to an older one.
//
// State is a deterministic state machine: events and the time go in, actions come out. Runner
// performs the actions over the network.
//
// Two feeders per data centre, chosen by rendezvous hashing over the live nodes, read the
// platform's head on a timer, so platform reads do not grow with the fleet. The node that accepted
// a change, or first read one from the platform, pushes the version to the first node of each data
// centre. From there a tree reaches every node with one push each; it is built over the live nodes
// for every version, by hashing the version with each node's ID. A small change is included in the
// push. A node that cannot reach a child pushes to that child's children itself. A node that was
// missed sees the newer (version, hash) in its next membership message and pulls the deltas.
//
// Every message also carries a confirmation: how long ago the platform had no version newer than
// the sender's. A node whose confirmation gets too old reads the platform itself, a fallback read,
// whether its feeders get no answer or it is partitioned from them; so silence is never taken for a
// time without changes.
//
// A delta is applied only if its parent is the version held and the result has the hash it names. A
// snapshot proves its own content, but not that it descends from the version held; it needs a
// second witness and a peer that has both versions in its history. A version of another history is
// reported as a Conflict and never applied.
package distribute

// Package distribute brings every accepted configuration version to every
// node, and never back to an older one.
//
// State is a pure state machine: events and the time go in, actions come out.
// Runner carries the actions out over the network.
//
// The protocol. Two feeders a data centre, chosen by rendezvous hash over the
// live nodes, read the platform's head on a timer, so that platform reads do
// not grow with the fleet. The node that accepted a change, or first learned
// of one from the platform, tells the first node of each data centre. From
// there a tree, laid over the live nodes anew for every version by hashing the
// version with each node's ID, reaches every node with one message each; a
// small change rides in that message. A node whose child cannot be reached
// tells that child's children in its place. Whoever is missed sees the newer
// (version, hash) on the next membership message and pulls the deltas.
//
// Every message also says how long ago the platform had no newer version than the
// sender's. A node whose version nobody confirms for long reads the platform itself,
// whether its feeders get no answer or it is cut off from them; so silence is never
// taken for a time without changes.
//
// A delta is applied only if its parent is the version held and the result has
// the promised hash. A whole snapshot, which proves its own content but not
// that it descends from the version held, needs a second witness and a peer that
// has both versions in its history. A version that belongs to another history is
// reported as a Conflict and never followed.
package distribute

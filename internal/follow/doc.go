// Package follow brings the versions that were accepted elsewhere, by whoever
// keeps the configuration in the platform, to one node, and never back to an
// older one.
//
// Two nodes of each data centre are its feeders. Of all first feeders two are the readers of the
// mesh: they follow the source, so that reads grow neither with the nodes nor with the data
// centres. A reader tells the feeders of all data centres what has changed, and a feeder the
// others of its data centre. The first feeder of each mentions the version to that of each other. A
// node that has just started reads the source once if its link is fast, and asks its
// peers first if it is slow; see State.Feeds. Each version's hash depends on its content
// alone, so nodes that come by the same version in different ways hold the same snapshot,
// and each checks what it was sent.
//
// Silence of the feeders may mean that nothing has changed, or that they get no answer. So each
// message says how old the newest answer of the source is that confirms the sender's version.
// The reader that leads has the source answer every Settings.confirmEvery, and tells all feeders; the
// other one's question is held long. Each first feeder asks the leading reader once its confirmation
// has grown old, the second one the first, and each other node a feeder. Where no feeder has a newer one, since
// the source leaves them without an answer, they are behind a cut, or gone, the node reads the
// source by itself, and reports to the feeders what it reads and that it was answered, so that
// one such node serves its data centre. It stops when a feeder has the answer of another node.
// Nodes of a higher rank ask a little later, so that few read; see contact.
//
// Whoever is missed learns by the way: every message between nodes mentions the
// sender's version, and a node that hears of a newer one pulls it from whoever
// mentioned it. While the source fails a feeder also asks one peer after another.
//
// State decides whom to ask and when, without a clock of its own. Runner carries
// that out.
package follow

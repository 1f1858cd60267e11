// Package follow keeps the configuration of one node at the newest version that was accepted
// elsewhere, by the platform that stores the configuration. The node never returns to an older
// version.
//
// Two nodes of each data centre are its feeders. Two of the first feeders, the leading reader and
// its deputy, are the readers of the mesh. Only they read the source, so that the number of reads
// grows neither with the nodes nor with the data centres. A reader pushes changes to the feeders of
// all data centres, and a feeder to the other nodes of its own. The first feeder of each data
// centre also sends the version to the first feeders of the others. A node that has just started
// reads the source once if its link is fast, and pulls from its peers first if it is slow; see
// State.ReadsSource. The hash of a version depends on its content alone, so nodes that receive a
// version in different ways hold the same snapshot, and each verifies what it was sent.
//
// Silence of the feeders means either that nothing has changed or that they get no answer. Each
// message therefore carries the age of the newest answer of the source that confirms the sender's
// version. The source answers the leading reader every Settings.confirmInterval, and the reader
// confirms to all feeders; the source holds the deputy's long polls for longer. Once its
// confirmation is old, each first feeder queries the leading reader, each second feeder the first,
// and every other node a feeder. If no feeder has a newer confirmation, because the source does not
// answer the feeders, they are partitioned or they are gone, the node reads the source itself. It
// pushes what it reads, and the confirmation, to the feeders, so that one such node serves its data
// centre. It stops when a feeder has the confirmation of another node. Nodes of a higher rank query
// a little later, so that few read; see contact.
//
// A node that misses a push catches up through other messages: every message between nodes carries
// the sender's version, and a node that learns of a newer one pulls it from the sender. While the
// source fails, a feeder also pulls from one peer after another.
//
// State decides which peer to contact and when, with the clock as an argument. Runner performs the
// requests.
package follow

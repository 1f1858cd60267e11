// Package follow brings the versions that were accepted elsewhere, by whoever
// keeps the configuration in the platform, to one node, and never back to an
// older one.
//
// Two nodes of each data centre, its feeders, follow the source, so that reads do
// not grow with the mesh. A feeder tells the others of its data centre what has changed,
// and the first of them mentions the version to the first of each other data centre. A
// node that has just started reads the source once if its link is fast, and asks its
// peers first if it is slow; see State.Feeds. Each version's hash depends on its content
// alone, so nodes that come by the same version in different ways hold the same snapshot,
// and each checks what it was sent.
//
// Each other node asks those that tell it, all the while, whether they are there. One whom
// nobody answers, behind a cut or because they are gone, reads the source by itself until
// one of them answers again; see contact.
//
// Whoever is missed learns by the way: every message between nodes mentions the
// sender's version, and a node that hears of a newer one pulls it from whoever
// mentioned it. While the source fails a feeder also asks one peer after another.
//
// State decides whom to ask and when, without a clock of its own. Runner carries
// that out.
package follow

// Package follow brings the versions that were accepted elsewhere, by whoever
// keeps the configuration in the platform, to one node, and never back to an
// older one.
//
// Every node follows the source itself. Each version's hash depends on its
// content alone, so nodes that read the same version hold the same snapshot. A
// node that the source does not answer learns from the others: every message
// between nodes tells the sender's version, and a node that hears of a newer one
// pulls it from whoever told. While the source fails altogether it also asks one
// peer after another unasked.
//
// State decides whom to ask and when, without a clock of its own. Runner carries
// that out.
package follow

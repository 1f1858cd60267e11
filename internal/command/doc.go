// Package command accepts changes to the configuration, and reads what was
// accepted.
//
// No node leads. Any node takes a Command, applies it to the newest snapshot,
// checks the whole result, and commits one transaction to the platform's table:
//
//	conditions  the head row has the revision that was read
//	            the row command/ID does not exist
//	writes      head            the new version
//	            log/NUMBER      the delta from the version before
//	            command/ID      the outcome, with a digest of the command
//
// Three rules follow from that one transaction:
//
//   - Racing commits are put in order by the head row. The loser reads again
//     and judges its command anew on the newer snapshot.
//   - A command takes effect at most once, since its row can be made only once.
//   - A refusal that depends on the configuration is recorded under the same
//     conditions. A repeat gets that refusal, even when the reason has gone
//     meanwhile, and so does a copy of the command still on its way.
//
// When an answer is lost, the same transaction is sent again. Whatever it
// returns tells the outcome of the first try: success, or a conflict on the
// head alone, means that the first did not take effect and never will, since
// the head never returns to an earlier revision; a conflict on the command row
// means that the outcome stands in that row.
//
// See docs/design/commit.md for the ways weighed.
package command

package node

import (
	"context"

	"github.com/marlpass/marlpass/internal/command"
)

// rejectingSubmitter refuses operators' commands at a node that follows versions accepted
// elsewhere. The source of those versions would not have the change, and its next version would
// revert it.
type rejectingSubmitter struct{}

// Submit implements command.Submitter.
func (rejectingSubmitter) Submit(_ context.Context, cmd command.Command) command.Result {
	return cmd.Refuse(command.ReasonElsewhere, "this mesh follows a configuration that is changed elsewhere")
}

package node

import (
	"context"

	"github.com/marlpass/marlpass/internal/command"
)

// rejectingSubmitter refuses operators' commands at a node that follows versions
// accepted elsewhere: whoever accepts them would not know of the change, and the
// next version would undo it.
type rejectingSubmitter struct{}

// Submit implements command.Submitter.
func (rejectingSubmitter) Submit(_ context.Context, cmd command.Command) command.Result {
	return cmd.Refuse(command.ReasonElsewhere, "this mesh follows a configuration that is changed elsewhere")
}

package node

import (
	"context"

	"github.com/marlpass/marlpass/internal/command"
)

// acceptedElsewhere refuses operators' commands at a node that follows versions
// accepted elsewhere: whoever accepts them would not know of the change, and the
// next version would undo it.
type acceptedElsewhere struct{}

// Submit implements command.Submitter.
func (acceptedElsewhere) Submit(_ context.Context, cmd command.Command) command.Result {
	return cmd.Refuse(command.ReasonElsewhere, "this mesh follows a configuration that is changed elsewhere")
}

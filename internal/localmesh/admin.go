package localmesh

import (
	"context"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// bearer gives the token of the mesh's one operator.
type bearer struct{}

// Bearer implements adminapi.SecuritySource.
func (bearer) Bearer(context.Context, adminapi.OperationName) (adminapi.Bearer, error) {
	return adminapi.Bearer{Token: Token}, nil
}

// Admin returns a client of the admin API of the VM's node.
func (m *Mesh) Admin(vm *VM) (*adminapi.Client, error) {
	return adminapi.NewClient("http://"+vm.Node().Addrs().Admin+"/v1", bearer{})
}

package localmesh

import (
	"context"

	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// bearer gives an operator's token.
type bearer string

// Bearer implements adminapi.SecuritySource.
func (b bearer) Bearer(context.Context, adminapi.OperationName) (adminapi.Bearer, error) {
	return adminapi.Bearer{Token: string(b)}, nil
}

// Admin returns a client of the admin API of the VM's node.
func (m *Mesh) Admin(vm *VM) (*adminapi.Client, error) {
	return m.AdminAs(vm, Token)
}

// AdminAs returns a client that speaks for the operator with that token.
func (m *Mesh) AdminAs(vm *VM, token string) (*adminapi.Client, error) {
	return adminapi.NewClient("http://"+vm.Node().Addrs().Admin+"/v1", bearer(token))
}

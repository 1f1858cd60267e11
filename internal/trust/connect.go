package trust

import (
	"context"
	"crypto/tls"
	"net"
)

// Connector secures connections that this node opens to other nodes.
type Connector struct {
	keeper *Keeper
	config *tls.Config
}

// Connector returns a Connector with a memory of TLS sessions of its own.
func (k *Keeper) Connector() *Connector {
	return &Connector{keeper: k, config: k.Client()}
}

// Connect makes raw a TLS connection to the node of vm. After an error nothing
// but the handshake was sent on raw, which the caller closes.
//
// It guards against two failures. An address passes from a VM to the one that
// replaces it, and a membership record may be older than that: a call would
// reach a VM that was never meant. The certificate must therefore name vm. And
// in TLS 1.3 a client is done before the server has looked at its certificate:
// a node whose own certificate ran out would send each call and have it cut
// off, and could not say that it was not run. So it does not connect at all.
func (c *Connector) Connect(ctx context.Context, raw net.Conn, vm string) (net.Conn, error) {
	k := c.keeper
	if until := k.Expires(); k.opts.Now().After(until) {
		return nil, &FileError{k.opts.Files.Cert, "the certificate of this node ran out; it opens no connections"}
	}
	conn := tls.Client(raw, c.config)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	state := conn.ConnectionState()
	id, err := PeerOf(&state)
	if err != nil {
		return nil, err
	}
	if id.VM != vm {
		refused := &RefusedError{ReasonOtherVM, "VM " + id.VM + " answers at the address of VM " + vm}
		k.refused(refused)
		return nil, refused
	}
	return conn, nil
}

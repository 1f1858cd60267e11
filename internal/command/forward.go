package command

import (
	"context"
	"errors"
	"time"
)

// Submitter takes commands.
type Submitter interface {
	Submit(ctx context.Context, cmd Command) Result
}

// Peers carries a command to a node that may reach the platform. That node
// submits it to its own Committer and does not pass it on further. An error of
// ErrNoPeer says that the command was sent to no one; any other error leaves
// open whether it took effect.
type Peers interface {
	Submit(ctx context.Context, cmd Command) (Result, error)
}

// Forwarder submits a command here, and through a peer when the platform can't
// be reached from here. Both use the same command id, so it can't take effect
// twice.
type Forwarder struct {
	Local Submitter
	Peers Peers
	// PeerTimeout bounds the peer's part; 5 s by default.
	PeerTimeout time.Duration
	open        *openIDs
}

// NewForwarder returns a forwarder.
func NewForwarder(local Submitter, peers Peers) *Forwarder {
	return &Forwarder{Local: local, Peers: peers, PeerTimeout: 5 * time.Second, open: newOpenIDs()}
}

// Submit implements Submitter.
func (f *Forwarder) Submit(ctx context.Context, cmd Command) Result {
	res := f.Local.Submit(ctx, cmd)
	if res.Outcome == Unknown || res.Reason == ReasonUnavailable {
		res = f.throughPeer(ctx, cmd, res)
	}
	return f.open.settle(cmd, res)
}

// throughPeer returns what is known after asking a peer, given the result here.
func (f *Forwarder) throughPeer(ctx context.Context, cmd Command, here Result) Result {
	if here.Outcome == Unknown {
		cmd.Repeat = true
	}
	ctx, cancel := context.WithTimeout(ctx, f.PeerTimeout)
	defer cancel()
	there, err := f.Peers.Submit(ctx, cmd)
	switch {
	case errors.Is(err, ErrNoPeer):
		return here
	case err != nil:
		return cmd.result(Unknown, ReasonLost, "the answer of the peer was lost: "+err.Error())
	case here.Outcome == Unknown && there.Outcome == Refused && there.Reason.Retryable():
		return here
	}
	return there
}

package command

import (
	"context"
	"errors"
	"testing"
)

type peerFunc func(Command) (Result, error)

func (f peerFunc) Submit(_ context.Context, c Command) (Result, error) { return f(c) }

var errLost = errors.New("connection reset")

// A data centre is cut off from the platform, but a neighbour is not. The
// operator there must get the neighbour's verdict, and where that is lost the
// word "unknown": never a refusal of what may have taken effect.
func TestForwarder(t *testing.T) {
	accepted := Result{Outcome: Accepted}
	invalid := Result{Outcome: Refused, Reason: ReasonInvalid}
	down := Result{Outcome: Refused, Reason: ReasonUnavailable}
	lost := Result{Outcome: Unknown, Reason: ReasonLost}
	cases := []struct {
		name    string
		here    Result
		there   Result
		err     error
		want    Outcome
		reason  Reason
		asked   bool
		repeats bool
	}{
		{"accepted here", accepted, Result{}, nil, Accepted, "", false, false},
		{"refused here", invalid, Result{}, nil, Refused, ReasonInvalid, false, false},
		{"down here, accepted there", down, accepted, nil, Accepted, "", true, false},
		{"down here, refused there", down, invalid, nil, Refused, ReasonInvalid, true, false},
		{"down on both sides", down, down, nil, Refused, ReasonUnavailable, true, false},
		{"down here, no peer", down, Result{}, ErrNoPeer, Refused, ReasonUnavailable, true, false},
		{"down here, the peer's answer lost", down, Result{}, errLost, Unknown, ReasonLost, true, false},
		{"lost here, accepted there", lost, accepted, nil, Accepted, "", true, true},
		{"lost here, refused there", lost, invalid, nil, Refused, ReasonInvalid, true, true},
		{"lost here, down there", lost, down, nil, Unknown, ReasonLost, true, true},
		{"lost here, no peer", lost, Result{}, ErrNoPeer, Unknown, ReasonLost, true, true},
	}
	for _, c := range cases {
		asked := false
		peer := peerFunc(func(cmd Command) (Result, error) {
			asked = true
			if cmd.ID != "c" || cmd.Repeat != c.repeats {
				t.Errorf("%s: the peer got %+v", c.name, cmd)
			}
			return c.there, c.err
		})
		f := NewForwarder(submitFunc(func(Command) Result { return c.here }), peer)
		got := f.Submit(context.Background(), set("c", 0, service("a", "")))
		if got.Outcome != c.want || got.Reason != c.reason || asked != c.asked {
			t.Errorf("%s: got %+v, asked %v", c.name, got, asked)
		}
	}
}

type submitFunc func(Command) Result

func (f submitFunc) Submit(_ context.Context, c Command) Result { return f(c) }

package node

import (
	"context"
	"time"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// unavailableRetry is when an operator may try again whose command could not be
// judged.
const unavailableRetry = 5 * time.Second

// commander gives a command.Submitter the shape that the admin API asks for.
type commander struct {
	submitter command.Submitter
	inForce   func() *config.Snapshot
}

// Submit implements admin.Commander.
func (c commander) Submit(ctx context.Context, ch *admin.Change) (admin.Outcome, error) {
	_, existed := c.inForce().Object(ch.Key)
	res := c.submitter.Submit(ctx, commandOf(ch))
	switch res.Outcome {
	case command.Accepted:
		return admin.Outcome{Version: res.Version, Created: !existed && !ch.Withdraws()}, nil
	case command.Refused:
		return admin.Outcome{}, refusalOf(ch, res)
	}
	return admin.Outcome{Unknown: true, Detail: res.Detail}, nil
}

func commandOf(ch *admin.Change) command.Command {
	c := command.Command{ID: ch.Command, Operator: ch.By.Name, Team: ch.By.Team, Note: ch.Note}
	if ch.Expect != nil {
		c.Base = *ch.Expect
	}
	switch {
	case ch.Service != nil:
		c.Set = []config.Object{config.EncodeService(*ch.Service)}
	case ch.Target != nil:
		c.Set = []config.Object{config.EncodeTarget(*ch.Target)}
	default:
		c.Unset = []config.Key{ch.Key}
	}
	return c
}

// refusalOf turns a refusal into the admin API's error for it.
func refusalOf(ch *admin.Change, r command.Result) error {
	switch r.Reason {
	case command.ReasonInvalid:
		if broken := crossed(r.Problems); len(broken) > 0 {
			return &admin.RefusedError{Detail: r.Detail, Problems: broken}
		}
		return &admin.InvalidError{Problems: r.Problems}
	case command.ReasonMalformed:
		return &admin.InvalidError{Problems: []config.Problem{{Key: ch.Key, Reason: r.Detail}}}
	case command.ReasonForbidden:
		return forbidden(ch, r)
	case command.ReasonConflict:
		return preconditionOf(ch, r)
	case command.ReasonNotFound:
		return &admin.NotFoundError{What: string(ch.Key.Kind) + " " + ch.Key.Name}
	}
	if r.Reason.Retryable() {
		return &admin.UnavailableError{Detail: r.Detail, RetryAfter: unavailableRetry}
	}
	return &admin.RefusedError{Detail: r.Detail, Problems: r.Problems}
}

// crossed returns the problems that lie between objects: the stated object is
// well formed, and refused for what is or is not beside it.
func crossed(ps []config.Problem) []config.Problem {
	var out []config.Problem
	for _, p := range ps {
		if len(p.Missing) > 0 || len(p.Dependents) > 0 {
			out = append(out, p)
		}
	}
	return out
}

func forbidden(ch *admin.Change, r command.Result) error {
	e := &admin.ForbiddenError{Key: ch.Key}
	if len(r.Problems) > 0 {
		e.Team = r.Problems[0].Reason
	}
	return e
}

func preconditionOf(ch *admin.Change, r command.Result) error {
	e := &admin.PreconditionError{Current: config.Version{Number: r.Head}}
	if ch.Expect != nil {
		e.Expected = *ch.Expect
	}
	for _, c := range r.Conflicts {
		e.Changes = append(e.Changes, changeShape(c.Change))
	}
	return e
}

// changeShape returns a change of an object as the admin API shows it.
func changeShape(c config.Change) adminapi.ObjectChange {
	out := adminapi.ObjectChange{
		Kind:   adminapi.Kind(c.Key.Kind),
		Name:   c.Key.Name,
		Action: actionOf(c.Op),
	}
	for _, f := range c.Fields {
		out.Fields = append(out.Fields, adminapi.FieldChange{
			Field:  f.Field,
			Before: optString(f.Before),
			After:  optString(f.After),
		})
	}
	return out
}

func actionOf(op config.Op) adminapi.ObjectChangeAction {
	switch op {
	case config.OpAdded:
		return adminapi.ObjectChangeActionAdded
	case config.OpRemoved:
		return adminapi.ObjectChangeActionWithdrawn
	}
	return adminapi.ObjectChangeActionChanged
}

func optString(s string) adminapi.OptString {
	return adminapi.OptString{Value: s, Set: s != ""}
}

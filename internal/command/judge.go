package command

import (
	"context"
	"errors"
	"fmt"

	"github.com/marlpass/marlpass/internal/config"
)

// maxProblems bounds what a recorded refusal lists.
const maxProblems = 64

// verdict is what a command comes to on one snapshot. An accepted one that
// changes something has next and delta.
type verdict struct {
	result Result
	next   *config.Snapshot
	delta  *config.Delta
}

// errNewerObjects means that the snapshot holds objects of a newer writer.
var errNewerObjects = errors.New("command: the configuration holds objects that this node can't decode")

// judge applies cmd to snap, which is the snapshot of head, and checks the
// whole result.
func (c *Committer) judge(ctx context.Context, cmd *Command, head Head, snap *config.Snapshot) (verdict, error) {
	if err := snap.DecodeError(); err != nil {
		return verdict{}, fmt.Errorf("%w: %w", errNewerObjects, err)
	}
	refuse := func(r Reason, detail string, ps ...config.Problem) (verdict, error) {
		res := cmd.result(Refused, r, detail)
		res.Problems = ps[:min(len(ps), maxProblems)]
		return verdict{result: res}, nil
	}
	next, delta, err := snap.Next(cmd.Set, cmd.Unset)
	if err != nil {
		return refuse(ReasonInvalid, err.Error())
	}
	if ps := foreign(cmd, snap, next); len(ps) > 0 {
		return refuse(ReasonForbidden, "another team owns what the command touches", ps...)
	}
	if cmd.Base != nil {
		v, err := c.changedSince(ctx, cmd, head, snap)
		if err != nil || v.result.Outcome != "" {
			return v, err
		}
	}
	if ps := notThere(cmd, snap); len(ps) > 0 {
		return refuse(ReasonNotFound, "an object to withdraw is not there", ps...)
	}
	if ps := problemsOf(next.CheckAfter(snap)); len(ps) > 0 {
		return refuse(ReasonInvalid, "the configuration would not be consistent", ps...)
	}
	if n := next.TeamObjects(cmd.Team); n > c.o.ObjectsPerTeam && n > snap.TeamObjects(cmd.Team) {
		return refuse(ReasonTeamFull, fmt.Sprintf("the team %s would hold %d objects; the bound is %d",
			cmd.Team, n, c.o.ObjectsPerTeam))
	}
	if changesNothing(cmd, snap) {
		res := cmd.result(Accepted, "", "")
		res.Version, res.Unchanged = snap.Version(), true
		return verdict{result: res}, nil
	}
	delta.By, delta.Team, delta.Command, delta.Note = cmd.Operator, cmd.Team, cmd.ID, cmd.Note
	delta.AtMS = c.o.Now().UnixMilli()
	res := cmd.result(Accepted, "", "")
	res.Version, res.Created = next.Version(), len(delta.Created) > 0
	res.Changes = config.Diff(snap, next)
	return verdict{result: res, next: next, delta: delta}, nil
}

// changedSince refuses a command whose operator has not seen the newest form
// of what it touches. Without it the later of two operators would undo the
// earlier one's change without either noticing.
func (c *Committer) changedSince(ctx context.Context, cmd *Command, head Head, snap *config.Snapshot) (verdict, error) {
	refuse := func(detail string, cs ...Conflict) (verdict, error) {
		res := cmd.result(Refused, ReasonConflict, detail)
		res.Conflicts = cs[:min(len(cs), maxProblems)]
		return verdict{result: res}, nil
	}
	base, newest := *cmd.Base, head.Version.Number
	tooOld := fmt.Sprintf("version %d is too old to compare with; read again", base)
	switch {
	case base == newest:
		return verdict{}, nil
	case base > newest:
		return refuse(fmt.Sprintf("version %d is not accepted; the newest is %d", base, newest))
	case base+1 < head.Floor:
		return refuse(tooOld)
	}
	ds, err := c.reader.between(ctx, base, head.Version)
	if errors.Is(err, ErrCompacted) {
		return refuse(tooOld)
	}
	if err != nil {
		return verdict{}, err
	}
	if cs := conflicts(cmd, ds, c.reader.Cached(base), snap); len(cs) > 0 {
		return refuse(fmt.Sprintf("%d objects have changed since version %d", len(cs), base), cs...)
	}
	return verdict{}, nil
}

// between returns the deltas after version number from up to to, all of them.
func (r *Reader) between(ctx context.Context, from uint64, to config.Version) ([]*config.Delta, error) {
	var out []*config.Delta
	for at := from; at < to.Number; {
		ds, err := r.Log(ctx, at, int(min(to.Number-at, logPage)))
		if err != nil {
			return nil, err
		}
		if len(ds) == 0 {
			return nil, ErrIncomplete
		}
		for _, d := range ds {
			switch {
			case d.To.Number != at+1 && at == from:
				return nil, ErrCompacted
			case d.To.Number != at+1 || len(out) > 0 && d.From != out[len(out)-1].To:
				return nil, ErrIncomplete
			}
			out, at = append(out, d), d.To.Number
		}
	}
	if len(out) > 0 && out[len(out)-1].To != to {
		return nil, &HistoryError{Platform: out[len(out)-1].To, Known: to, Err: ErrOtherHistory}
	}
	return out, nil
}

// conflicts returns the objects touched by cmd that ds changed. Base is the
// snapshot that the operator read, or nil when it is not at hand.
func conflicts(cmd *Command, ds []*config.Delta, base, now *config.Snapshot) []Conflict {
	touched := cmd.touched()
	last := make(map[config.Key]*config.Delta)
	var order []config.Key
	note := func(k config.Key, d *config.Delta) {
		if !touched[k] {
			return
		}
		if last[k] == nil {
			order = append(order, k)
		}
		last[k] = d
	}
	for _, d := range ds {
		for _, o := range d.Set {
			note(o.Key, d)
		}
		for _, k := range d.Unset {
			note(k, d)
		}
	}
	out := make([]Conflict, len(order))
	for i, k := range order {
		d := last[k]
		out[i] = Conflict{Change: changeOf(k, base, now), Version: d.To.Number, By: d.By, AtMS: d.AtMS}
	}
	return out
}

func changeOf(k config.Key, base, now *config.Snapshot) config.Change {
	var before config.Object
	if base != nil {
		before, _ = base.Object(k)
	}
	after, there := now.Object(k)
	c := config.DiffObject(before, after)
	c.Key = k
	switch {
	case !there:
		c.Op = config.OpRemoved
	case base == nil:
		c.Op = config.OpChanged
	}
	return c
}

// foreign returns a problem for each object that the command may not touch: one
// that another team owns before or after it, a target for another team's
// service, and a target that would take calls from another team's target.
func foreign(cmd *Command, before, after *config.Snapshot) []config.Problem {
	var ps []config.Problem
	for _, k := range cmd.keys() {
		for _, s := range []*config.Snapshot{before, after} {
			if owner := ownerOf(s, k); owner != "" && owner != cmd.Team {
				ps = append(ps, config.Problem{Key: k, Field: "team", Reason: "belongs to the team " + owner})
				break
			}
		}
		t := after.Target(k.Name)
		if k.Kind != config.KindTarget || t == nil {
			continue
		}
		if owner := ownerOf(after, config.Key{Kind: config.KindService, Name: t.Service}); owner != "" && owner != cmd.Team {
			ps = append(ps, config.Problem{Key: k, Field: "service", Reason: "the service belongs to the team " + owner})
		}
		for _, o := range before.Targets() {
			if o.Team != cmd.Team && takesFrom(t.Match, o.Match) {
				ps = append(ps, config.Problem{Key: k, Field: "match",
					Reason: fmt.Sprintf("lies within the target %q of the team %s", o.Name, o.Team)})
			}
		}
	}
	return ps
}

func ownerOf(s *config.Snapshot, k config.Key) string {
	switch k.Kind {
	case config.KindService:
		if v := s.Service(k.Name); v != nil {
			return v.Team
		}
	case config.KindTarget:
		if t := s.Target(k.Name); t != nil {
			return t.Team
		}
	case config.KindWorkspace:
		if w := s.Workspace(k.Name); w != nil {
			return w.Team
		}
	}
	return ""
}

// takesFrom reports whether calls that o matches would go to m in its place,
// or the other way round at the same prefix. Classes at the root are left out:
// they are there to be carved from.
func takesFrom(m, o config.Match) bool {
	switch {
	case o.PathPrefix == "/" || o.Host != "" && m.Host != "" && o.Host != m.Host:
		return false
	case m.PathPrefix != o.PathPrefix:
		// The longest path goes first, whatever the hosts.
		return o.MatchesPath(m.PathPrefix)
	}
	return o.Host == "" || o.Host == m.Host
}

func notThere(cmd *Command, s *config.Snapshot) []config.Problem {
	var ps []config.Problem
	for _, k := range cmd.Unset {
		if _, ok := s.Object(k); !ok {
			ps = append(ps, config.Problem{Key: k, Reason: "is not there"})
		}
	}
	return ps
}

func changesNothing(cmd *Command, s *config.Snapshot) bool {
	for _, o := range cmd.Set {
		if was, ok := s.Object(o.Key); !ok || string(was.Raw) != string(o.Raw) {
			return false
		}
	}
	return len(cmd.Unset) == 0
}

func problemsOf(err error) []config.Problem {
	var ce *config.CheckError
	if errors.As(err, &ce) {
		return ce.Problems
	}
	if err != nil {
		return []config.Problem{{Reason: err.Error()}}
	}
	return nil
}

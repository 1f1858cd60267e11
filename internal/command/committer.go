package command

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/wait"
)

// Options bound the work of a Committer. Zero values stand for the defaults.
type Options struct {
	// Timeout bounds one Submit; 5 s by default.
	Timeout time.Duration
	// Attempts bounds how often a command is judged anew after losing a race
	// or reading something stale; 16 by default.
	Attempts int
	// DownAttempts is after how many failures to reach the platform in a row
	// a command is given up; 3 by default.
	DownAttempts int
	// SettleAttempts bounds how often a transaction is sent while its outcome
	// is not known; 8 by default.
	SettleAttempts int
	// BackoffBase and BackoffMax bound the waits between attempts, which are
	// drawn with full jitter; 10 ms and 500 ms by default.
	BackoffBase, BackoffMax time.Duration
	// ObjectsPerTeam is config.DefaultObjectsPerTeam by default.
	ObjectsPerTeam int
	// Accepted is told of each version that this committer made, once it is
	// known to be accepted.
	Accepted func(*config.Snapshot, *config.Delta)
	// Held gives the newest version that the mesh is known to hold, or false
	// while that is not known; nil if it need not be asked. See attempt.
	Held func() (config.Version, bool)
	// Now and Rand are the clock and a source of numbers in [0,1).
	Now  func() time.Time
	Rand func() float64
	// Sleep waits, or returns the context's error.
	Sleep func(context.Context, time.Duration) error
}

func (o Options) withDefaults() Options {
	setDefault(&o.Timeout, 5*time.Second)
	setDefault(&o.Attempts, 16)
	setDefault(&o.DownAttempts, 3)
	setDefault(&o.SettleAttempts, 8)
	setDefault(&o.BackoffBase, 10*time.Millisecond)
	setDefault(&o.BackoffMax, 500*time.Millisecond)
	setDefault(&o.ObjectsPerTeam, config.DefaultObjectsPerTeam)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.Float64
	}
	if o.Sleep == nil {
		o.Sleep = wait.For
	}
	return o
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Committer accepts commands by committing to the platform. It is safe for
// use by several goroutines.
type Committer struct {
	reader *Reader
	table  platform.Table
	o      Options
	open   *openIDs
}

// NewCommitter returns a committer that reads through r and writes to t.
func NewCommitter(r *Reader, t platform.Table, o Options) *Committer {
	return &Committer{reader: r, table: t, o: o.withDefaults(), open: newOpenIDs()}
}

// Submit brings cmd into force or tells why not. A Refused result with a
// retryable reason says that this submission had no effect; if the command was
// sent before with an unknown outcome, the result is Unknown in its place.
func (c *Committer) Submit(ctx context.Context, cmd Command) Result {
	if why := cmd.malformed(); why != "" {
		return cmd.result(Refused, ReasonMalformed, why)
	}
	digest, err := cmd.digest()
	if err != nil {
		return cmd.result(Refused, ReasonMalformed, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, c.o.Timeout)
	defer cancel()
	s := &submission{c: c, cmd: &cmd, digest: digest}
	res := s.run(ctx)
	return c.open.settle(cmd, res)
}

// submission is the work on one command.
type submission struct {
	c      *Committer
	cmd    *Command
	digest string
	down   int // failures to reach the platform in a row
}

// run judges and commits until the outcome is known, or known not to come.
func (s *submission) run(ctx context.Context) Result {
	var last error
	for try := range s.c.o.Attempts {
		if try > 0 && s.c.backoff(ctx, try) != nil {
			break
		}
		var res Result
		res, last = s.attempt(ctx)
		if last == nil {
			return res
		}
		if s.givesUp(last) {
			break
		}
	}
	return s.notTaken(last)
}

// attempt returns a final result, or an error that says why this attempt had
// no effect and can't have one later.
//
// Asking what the mesh holds guards against a second history. The platform's
// table is wiped, or restored from a backup, and a node that has just started
// knows of no newer version: it would accept a change to the old one, which no
// other node follows, and tell the operator that it is accepted.
func (s *submission) attempt(ctx context.Context) (Result, error) {
	if s.c.o.Held != nil {
		v, known := s.c.o.Held()
		if !known {
			return Result{}, errUninformed
		}
		s.c.reader.Observe(v)
	}
	head, err := s.c.reader.Head(ctx)
	if err != nil {
		return Result{}, err
	}
	snap, err := s.c.reader.Snapshot(ctx, head)
	if err != nil {
		return Result{}, err
	}
	v, err := s.c.judge(ctx, s.cmd, head, snap)
	if err != nil {
		return Result{}, err
	}
	v.result.Head = head.Version.Number
	v.result.AtMS = s.c.o.Now().UnixMilli()
	txn, err := s.txn(head, v)
	if err != nil {
		return Result{}, err
	}
	return s.commit(ctx, txn, v)
}

func (s *submission) txn(head Head, v verdict) (platform.Txn, error) {
	t := platform.Txn{Conditions: []platform.Condition{
		headCondition(head),
		{Key: commandKey(s.cmd.ID), Revision: platform.Absent},
	}}
	rec := Record{Digest: s.digest, Operator: s.cmd.Operator, Team: s.cmd.Team, Result: v.result}
	w, err := encodeRow(commandKey(s.cmd.ID), rec)
	if err != nil || v.next == nil {
		t.Writes = []platform.Write{w}
		return t, err
	}
	head.Version = v.next.Version()
	headRow, err := encodeRow(platform.HeadKey, head)
	if err != nil {
		return t, err
	}
	logRow, err := encodeRow(platform.LogKey(v.next.Version().Number), v.delta)
	t.Writes = []platform.Write{headRow, logRow, w}
	return t, err
}

// commit sends the transaction until its outcome is known. See the package
// comment for why sending it again settles a lost answer.
func (s *submission) commit(ctx context.Context, t platform.Txn, v verdict) (Result, error) {
	lost := false
	for try := range s.c.o.SettleAttempts {
		if try > 0 && s.c.backoff(ctx, try) != nil {
			break
		}
		err := s.c.table.Commit(ctx, t)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			s.tell(v)
			return v.result, nil
		case errors.As(err, &conflict):
			if slices.Contains(conflict.Keys, commandKey(s.cmd.ID)) {
				return s.recorded(ctx, v), nil
			}
			return Result{}, err
		case errors.Is(err, platform.ErrUnavailable):
			if !lost {
				return Result{}, err
			}
		default:
			// ErrUnknown, or an error that says nothing about the effect.
			lost = true
		}
	}
	return s.cmd.result(Unknown, ReasonLost, "the platform's answer was lost"), nil
}

// recorded returns the outcome that stands in the command row. The row is
// known to exist, so a read that does not find it is stale.
func (s *submission) recorded(ctx context.Context, v verdict) Result {
	for try := range s.c.o.SettleAttempts {
		if try > 0 && s.c.backoff(ctx, try) != nil {
			break
		}
		row, err := s.c.table.Get(ctx, commandKey(s.cmd.ID))
		if err != nil {
			continue
		}
		var rec Record
		if decodeRow(row, &rec) != nil {
			break
		}
		if rec.Digest != s.digest {
			return s.cmd.result(Refused, ReasonIDReused, "the command id stands for another command")
		}
		if v.next != nil && rec.Result.Version == v.next.Version() {
			s.tell(v)
		}
		return rec.Result
	}
	return s.cmd.result(Unknown, ReasonLost, "the outcome is recorded and can't be read now")
}

func (s *submission) tell(v verdict) {
	if v.next == nil {
		return
	}
	s.c.reader.Observe(v.next.Version())
	s.c.reader.cache.Add(v.next.Version(), v.next)
	if s.c.o.Accepted != nil {
		s.c.o.Accepted(v.next, v.delta)
	}
}

// errUninformed means that this node does not know yet what the mesh holds.
var errUninformed = errors.New("command: this node is starting and does not know yet which version the mesh holds")

// givesUp reports whether another attempt would not help.
func (s *submission) givesUp(err error) bool {
	if errors.Is(err, ErrOtherHistory) || errors.Is(err, errNewerObjects) || errors.Is(err, errUninformed) {
		return true
	}
	if !errors.Is(err, platform.ErrUnavailable) {
		s.down = 0
		return false
	}
	s.down++
	return s.down >= s.c.o.DownAttempts
}

// notTaken is the result when no attempt had an effect.
func (s *submission) notTaken(err error) Result {
	reason := ReasonUnavailable
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		reason = ReasonBusy
	case errors.Is(err, ErrOlderHead):
		reason = ReasonOlderHead
	case errors.Is(err, ErrOtherHistory):
		reason = ReasonOtherHistory
	case errors.Is(err, errNewerObjects):
		reason = ReasonNewerObjects
	}
	return s.cmd.result(Refused, reason, err.Error())
}

// backoff waits before attempt number try, with full jitter.
func (c *Committer) backoff(ctx context.Context, try int) error {
	limit := min(c.o.BackoffMax, c.o.BackoffBase<<min(try-1, 16))
	return c.o.Sleep(ctx, time.Duration(c.o.Rand()*float64(limit)))
}

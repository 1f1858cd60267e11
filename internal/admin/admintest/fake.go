// Package admintest is a fake of what stands behind the admin API, for tests
// of the API and of the command line.
package admintest

import (
	"context"
	"sync"
	"time"

	"github.com/marlpass/marlpass/internal/admin"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/adminapi"
)

// Mode says how the fake takes the next changes.
type Mode string

// Modes of a Fake.
const (
	ModeNormal Mode = "normal"
	// ModeUnavailable refuses every change, as with the platform down.
	ModeUnavailable Mode = "unavailable"
	// ModeLostBefore tells unknown, and the change takes no effect.
	ModeLostBefore Mode = "lost-before"
	// ModeLostAfter tells unknown, and the change takes effect.
	ModeLostAfter Mode = "lost-after"
)

// Fake is an admin.Commander and an admin.Reader over versions in memory.
type Fake struct {
	Now func() time.Time

	mu       sync.Mutex
	mode     Mode
	versions []*config.Snapshot // by number
	entries  []adminapi.HistoryEntry
	commands map[string]admin.Outcome
}

// New returns a fake that holds the empty configuration.
func New(now func() time.Time) *Fake {
	return &Fake{
		Now:      now,
		mode:     ModeNormal,
		versions: []*config.Snapshot{config.Empty()},
		commands: make(map[string]admin.Outcome),
	}
}

// SetMode changes how the fake takes the next changes.
func (f *Fake) SetMode(m Mode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = m
}

func (f *Fake) head() *config.Snapshot { return f.versions[len(f.versions)-1] }

// Submit implements admin.Commander.
func (f *Fake) Submit(_ context.Context, c *admin.Change) (admin.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if out, done := f.commands[c.Command]; done {
		return out, nil
	}
	lost := admin.Outcome{Unknown: true, Detail: "the platform's answer was lost"}
	switch f.mode {
	case ModeUnavailable:
		return admin.Outcome{}, &admin.UnavailableError{
			Detail: "the platform cannot be reached", RetryAfter: 2 * time.Second}
	case ModeLostBefore:
		return lost, nil
	case ModeLostAfter:
		if _, err := f.apply(c); err != nil {
			return admin.Outcome{}, err
		}
		return lost, nil
	}
	return f.apply(c)
}

func (f *Fake) apply(c *admin.Change) (admin.Outcome, error) {
	head := f.head()
	if err := f.admit(head, c); err != nil {
		return admin.Outcome{}, err
	}
	var set []config.Object
	var unset []config.Key
	_, existed := head.Object(c.Key)
	switch {
	case c.Service != nil:
		set = append(set, config.EncodeService(*c.Service))
	case c.Target != nil:
		set = append(set, config.EncodeTarget(*c.Target))
	default:
		unset = append(unset, c.Key)
	}
	next, _, err := head.Next(set, unset)
	if err != nil {
		return admin.Outcome{}, err
	}
	if err := f.check(next, c); err != nil {
		return admin.Outcome{}, err
	}
	out := admin.Outcome{Version: next.Version(), Created: !existed}
	f.versions = append(f.versions, next)
	f.commands[c.Command] = out
	f.record(c, head, next)
	return out, nil
}

func (f *Fake) admit(head *config.Snapshot, c *admin.Change) error {
	if c.Expect != nil && *c.Expect != head.Version().Number {
		e := &admin.PreconditionError{Expected: *c.Expect, Current: head.Version()}
		if *c.Expect < uint64(len(f.versions)) {
			e.Changes = changes(f.versions[*c.Expect], head)
		}
		return e
	}
	if _, there := head.Object(c.Key); !there {
		if c.Withdraws() {
			return &admin.NotFoundError{What: string(c.Key.Kind) + " " + c.Key.Name}
		}
		return nil
	}
	if team := teamOf(head, c.Key); team != c.By.Team {
		return &admin.ForbiddenError{Key: c.Key, Team: team}
	}
	return nil
}

// check adds to the snapshot's own check what a withdrawn service is needed by.
func (f *Fake) check(next *config.Snapshot, c *admin.Change) error {
	err := next.Check()
	if err == nil {
		return nil
	}
	problems := err.(*config.CheckError).Problems
	if c.Withdraws() {
		p := config.Problem{Key: c.Key, Reason: "targets still need the service"}
		for _, dependent := range problems {
			p.Dependents = append(p.Dependents, dependent.Key.String())
		}
		problems = []config.Problem{p}
	}
	return &admin.RefusedError{Detail: "the configuration would not be consistent", Problems: problems}
}

func (f *Fake) record(c *admin.Change, head, next *config.Snapshot) {
	v := next.Version()
	e := adminapi.HistoryEntry{
		Version: adminapi.Version{Number: adminapi.VersionNumber(v.Number), Hash: v.Hash.String()},
		At:      f.Now(),
		By:      c.By.Name,
		Team:    c.By.Team,
		Command: c.Command,
		Changes: changes(head, next),
	}
	if c.Note != "" {
		e.Note.SetTo(c.Note)
	}
	f.entries = append([]adminapi.HistoryEntry{e}, f.entries...)
}

func teamOf(s *config.Snapshot, k config.Key) string {
	if k.Kind == config.KindService {
		return s.Service(k.Name).Team
	}
	return s.Target(k.Name).Team
}

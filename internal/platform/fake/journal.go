package fake

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// maxJournal is the number of row changes that a stale read can reach back.
const maxJournal = 20_000

// change is one row as it was before a commit.
type change struct {
	at     time.Time
	commit int
	before platform.Row // Revision is platform.Absent if there was none
}

// journal holds the newest changes, oldest first.
type journal struct {
	changes []change
	commits int
}

func (j *journal) add(now time.Time, before []platform.Row) {
	j.commits++
	for _, row := range before {
		j.changes = append(j.changes, change{at: now, commit: j.commits, before: row})
	}
	if extra := len(j.changes) - maxJournal; extra > maxJournal/4 {
		j.changes = slices.Delete(j.changes, 0, extra)
	}
}

// undone returns the rows that were different at the time a stale read looks
// back to, as they were then.
func (j *journal) undone(w Switches, now time.Time) map[string]platform.Row {
	if w.StaleAge <= 0 && w.StaleRevisions <= 0 {
		return nil
	}
	rows := make(map[string]platform.Row)
	for _, c := range slices.Backward(j.changes) {
		byAge := w.StaleAge > 0 && now.Sub(c.at) < w.StaleAge
		byCommit := c.commit > j.commits-w.StaleRevisions
		if !byAge && !byCommit {
			break
		}
		rows[c.before.Key] = c.before
	}
	return rows
}

// view is what one read sees.
type view struct {
	s      *Store
	undone map[string]platform.Row
}

func (s *Store) viewNow() view {
	return view{s, s.journal.undone(s.switches, time.Now())}
}

func (v view) get(ctx context.Context, key string) (platform.Row, error) {
	row, ok := v.undone[key]
	if !ok {
		return v.s.memory.Get(ctx, key)
	}
	if row.Revision == platform.Absent {
		return platform.Row{}, platform.ErrNotFound
	}
	row.Value = slices.Clone(row.Value)
	return row, nil
}

func (v view) scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	// Each undone row can hide at most one row of the newest state.
	rows, err := v.s.memory.Scan(ctx, prefix, after, limit+len(v.undone))
	if err != nil || len(v.undone) == 0 {
		return rows, err
	}
	rows = slices.DeleteFunc(rows, func(r platform.Row) bool {
		_, changed := v.undone[r.Key]
		return changed
	})
	for key, row := range v.undone {
		if row.Revision != platform.Absent && strings.HasPrefix(key, prefix) && key > after {
			row.Value = slices.Clone(row.Value)
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

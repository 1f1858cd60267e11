package query

import (
	"context"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/config"
)

const (
	// DefaultHistoryLimit bounds a history whose filter sets no limit.
	DefaultHistoryLimit = 100
	// historyPage is how many log rows are read at once.
	historyPage = 128
	// clockSlack is by how much clocks of nodes may differ. Each version has
	// the time of the node that accepted it, so times in the log are only
	// roughly in order.
	clockSlack = 10 * time.Minute
)

// Entry is one accepted change.
type Entry struct {
	Version   config.Version `json:"version"`
	At        time.Time      `json:"at"` // by the accepting node's clock
	By        string         `json:"by"`
	Team      string         `json:"team"`
	Command   string         `json:"command"`
	Note      string         `json:"note,omitempty"`
	Created   []config.Key   `json:"created,omitempty"`
	Changed   []config.Key   `json:"changed,omitempty"`
	Withdrawn []config.Key   `json:"withdrawn,omitempty"`
}

// HistoryFilter narrows a history; zero fields match everything.
type HistoryFilter struct {
	Since time.Time
	Until time.Time
	Key   config.Key // both fields, or only its Kind or Name
	Team  string
	By    string
	// Before bounds the history to versions below it.
	Before uint64
	Limit  int
}

// Log reads log rows after a version number, oldest first. command.Reader
// implements it.
type Log interface {
	Log(ctx context.Context, after uint64, limit int) ([]*config.Delta, error)
}

// HistoryPage is a part of the history, newest first.
type HistoryPage struct {
	Entries []Entry `json:"entries"`
	// Begins is the oldest version whose change could be read; what lies
	// before it was compacted away, or was not asked for.
	Begins uint64 `json:"begins"`
	// More says that the limit cut the page short.
	More bool `json:"more,omitempty"`
}

// History reads back from the newest version as far as f asks. Floor is the
// oldest version in the log.
func History(ctx context.Context, log Log, newest, floor uint64, f HistoryFilter) (HistoryPage, error) {
	if f.Limit <= 0 {
		f.Limit = DefaultHistoryLimit
	}
	page := HistoryPage{Entries: []Entry{}, Begins: newest + 1}
	if f.Before > 0 {
		page.Begins = min(page.Begins, f.Before)
	}
	for page.Begins > max(floor, 1) {
		after := max(page.Begins-1, historyPage) - historyPage
		ds, err := log.Log(ctx, after, int(page.Begins-1-after))
		if err != nil {
			return page, err
		}
		if len(ds) == 0 {
			return page, nil
		}
		for _, d := range slices.Backward(ds) {
			if tooOld(d, f) {
				return page, nil
			}
			page.Begins = d.To.Number
			if !f.admits(d) {
				continue
			}
			if len(page.Entries) == f.Limit {
				page.More = true
				return page, nil
			}
			page.Entries = append(page.Entries, EntryOf(d))
		}
	}
	return page, nil
}

// EntryOf returns the history entry of one log row.
func EntryOf(d *config.Delta) Entry {
	e := Entry{
		Version: d.To, At: time.UnixMilli(d.AtMS).UTC(), By: d.By, Team: d.Team,
		Command: d.Command, Note: d.Note, Withdrawn: d.Unset,
	}
	for _, o := range d.Set {
		if slices.Contains(d.Created, o.Key) {
			e.Created = append(e.Created, o.Key)
		} else {
			e.Changed = append(e.Changed, o.Key)
		}
	}
	return e
}

// tooOld reports whether no row before d can be of interest.
func tooOld(d *config.Delta, f HistoryFilter) bool {
	return !f.Since.IsZero() && time.UnixMilli(d.AtMS).Before(f.Since.Add(-clockSlack))
}

func (f HistoryFilter) admits(d *config.Delta) bool {
	at := time.UnixMilli(d.AtMS)
	switch {
	case !f.Since.IsZero() && at.Before(f.Since):
		return false
	case !f.Until.IsZero() && !at.Before(f.Until):
		return false
	}
	return matches(f.Team, d.Team) && matches(f.By, d.By) && f.admitsKey(d)
}

func (f HistoryFilter) admitsKey(d *config.Delta) bool {
	ok := func(k config.Key) bool {
		return matches(string(f.Key.Kind), string(k.Kind)) && matches(f.Key.Name, k.Name)
	}
	return f.Key == config.Key{} || slices.ContainsFunc(d.Unset, ok) ||
		slices.ContainsFunc(d.Set, func(o config.Object) bool { return ok(o.Key) })
}

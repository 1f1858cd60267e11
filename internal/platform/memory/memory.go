// Package memory implements the platform's interfaces in memory. The stand-in
// program serves it over HTTP, and tests use it directly.
package memory

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/marlpass/marlpass/internal/platform"
)

// Store is a transactional table and an object store in memory.
type Store struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	objects  map[string][]byte
	revision uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: make(map[string]platform.Row), objects: make(map[string][]byte)}
}

// Clone returns an independent copy, revisions included.
func (s *Store) Clone() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Stored values are never changed in place, so the copies may share them.
	return &Store{rows: maps.Clone(s.rows), objects: maps.Clone(s.objects), revision: s.revision}
}

var (
	_ platform.Table   = (*Store)(nil)
	_ platform.Objects = Objects{}
)

// Objects returns the object store that lives beside the table.
func (s *Store) Objects() Objects { return Objects{s} }

// Get implements platform.Table.
func (s *Store) Get(_ context.Context, key string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return copyRow(r), nil
}

// Scan implements platform.Table.
func (s *Store) Scan(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := pick(s.rows, prefix, after, limit)
	out := make([]platform.Row, len(keys))
	for i, k := range keys {
		out[i] = copyRow(s.rows[k])
	}
	return out, nil
}

// Commit implements platform.Table.
func (s *Store) Commit(_ context.Context, t platform.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, c := range t.Conditions {
		if s.rows[c.Key].Revision != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return &platform.ConflictError{Keys: failed}
	}
	s.revision++
	for _, w := range t.Writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.revision}
	}
	return nil
}

// Objects implements platform.Objects on a Store.
type Objects struct{ s *Store }

// Put implements platform.Objects.
func (o Objects) Put(_ context.Context, name string, data []byte) error {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	o.s.objects[name] = slices.Clone(data)
	return nil
}

// Get implements platform.Objects.
func (o Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	b, ok := o.s.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(b), nil
}

// Delete implements platform.Objects.
func (o Objects) Delete(_ context.Context, name string) error {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	delete(o.s.objects, name)
	return nil
}

// List implements platform.Objects.
func (o Objects) List(_ context.Context, prefix, after string, limit int) ([]string, error) {
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	return pick(o.s.objects, prefix, after, limit), nil
}

func copyRow(r platform.Row) platform.Row {
	r.Value = slices.Clone(r.Value)
	return r
}

// pick returns up to limit keys of m that begin with prefix and come after
// after, in order.
func pick[T any](m map[string]T, prefix, after string, limit int) []string {
	var keys []string
	for k := range m {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys[:min(limit, len(keys))]
}

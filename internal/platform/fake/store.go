package fake

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// Table returns the store's transactional table.
func (s *Store) Table() platform.Table { return table{s} }

// Objects returns the store's objects.
func (s *Store) Objects() platform.Objects { return objects{s} }

type table struct{ s *Store }

func (t table) Get(ctx context.Context, key string) (row platform.Row, err error) {
	err = t.s.read(ctx, func(v view) (err error) {
		row, err = v.get(ctx, key)
		return err
	})
	return row, err
}

func (t table) Scan(ctx context.Context, prefix, after string, limit int) (rows []platform.Row, err error) {
	err = t.s.read(ctx, func(v view) (err error) {
		rows, err = v.scan(ctx, prefix, after, limit)
		return err
	})
	return rows, err
}

func (t table) Commit(ctx context.Context, txn platform.Txn) error {
	txn = cloneTxn(txn)
	return t.s.write(ctx, func() error { return t.s.commit(txn) })
}

// cloneTxn copies a transaction, since it may land after its caller gave up
// and used the memory for something else.
func cloneTxn(t platform.Txn) platform.Txn {
	t.Conditions, t.Writes = slices.Clone(t.Conditions), slices.Clone(t.Writes)
	for i := range t.Writes {
		t.Writes[i].Value = slices.Clone(t.Writes[i].Value)
	}
	return t
}

// commit applies t to the memory and notes what it changed. The caller holds
// the lock.
func (s *Store) commit(t platform.Txn) error {
	ctx := context.Background()
	before := make([]platform.Row, 0, len(t.Writes))
	for _, w := range t.Writes {
		row, err := s.memory.Get(ctx, w.Key)
		if errors.Is(err, platform.ErrNotFound) {
			row = platform.Row{Key: w.Key}
		}
		before = append(before, row)
	}
	if err := s.memory.Commit(ctx, t); err != nil {
		return err
	}
	s.journal.add(time.Now(), before)
	return nil
}

type objects struct{ s *Store }

func (o objects) Put(ctx context.Context, name string, data []byte) error {
	data = slices.Clone(data)
	return o.s.write(ctx, func() error {
		return o.s.memory.Objects().Put(context.Background(), name, data)
	})
}

func (o objects) Get(ctx context.Context, name string) (data []byte, err error) {
	err = o.s.read(ctx, func(v view) (err error) {
		data, err = v.s.memory.Objects().Get(ctx, name)
		return err
	})
	return data, err
}

func (o objects) Delete(ctx context.Context, name string) error {
	return o.s.write(ctx, func() error {
		return o.s.memory.Objects().Delete(context.Background(), name)
	})
}

func (o objects) List(ctx context.Context, prefix, after string, limit int) (names []string, err error) {
	err = o.s.read(ctx, func(v view) (err error) {
		names, err = v.s.memory.Objects().List(ctx, prefix, after, limit)
		return err
	})
	return names, err
}

func unavailable(ctx context.Context) error {
	return fmt.Errorf("%w: %w", platform.ErrUnavailable, context.Cause(ctx))
}

func unknown(ctx context.Context) error {
	return fmt.Errorf("%w: %w", platform.ErrUnknown, context.Cause(ctx))
}

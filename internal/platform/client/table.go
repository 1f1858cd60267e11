package client

import (
	"context"
	"fmt"

	"github.com/marlpass/marlpass/internal/gen/platformapi"
	"github.com/marlpass/marlpass/internal/platform"
)

type table struct{ c *Client }

// Get implements platform.Table.
func (t table) Get(ctx context.Context, key string) (platform.Row, error) {
	var res platformapi.GetRowRes
	op := operation{name: "get row", key: key, idempotent: true}
	err := t.c.do(ctx, op, func(ctx context.Context) (err error) {
		res, err = t.c.api.GetRow(ctx, platformapi.GetRowParams{Key: key})
		return err
	})
	if err != nil {
		return platform.Row{}, err
	}
	switch res := res.(type) {
	case *platformapi.Row:
		return fromRow(*res), nil
	case *platformapi.NotFound:
		return platform.Row{}, platform.ErrNotFound
	}
	return platform.Row{}, unexpected(op, res)
}

// Scan implements platform.Table.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	var res *platformapi.Rows
	op := operation{name: "scan rows", key: prefix, idempotent: true}
	params := platformapi.ScanRowsParams{Prefix: prefix, After: afterParam(after), Limit: limit}
	err := t.c.do(ctx, op, func(ctx context.Context) (err error) {
		res, err = t.c.api.ScanRows(ctx, params)
		return err
	})
	if err != nil {
		return nil, err
	}
	rows := make([]platform.Row, len(res.Rows))
	for i, row := range res.Rows {
		rows[i] = fromRow(row)
	}
	return rows, nil
}

// Commit implements platform.Table.
func (t table) Commit(ctx context.Context, txn platform.Txn) error {
	var res platformapi.CommitRes
	op := operation{name: "commit", key: firstKey(txn), write: true}
	req := fromTxn(txn)
	err := t.c.do(ctx, op, func(ctx context.Context) (err error) {
		res, err = t.c.api.Commit(ctx, req)
		return err
	})
	if err != nil {
		return err
	}
	switch res := res.(type) {
	case *platformapi.CommitNoContent:
		return nil
	case *platformapi.Conflict:
		return &platform.ConflictError{Keys: res.Keys}
	}
	return unexpected(op, res)
}

// unexpected is for an answer that the generated code can't give.
func unexpected(op operation, res any) error {
	e := &Error{Op: op.name, Name: op.key, Tries: 1, Kind: platform.ErrUnavailable, Cause: fmt.Errorf("unexpected answer %T", res)}
	if op.write {
		e.Kind = platform.ErrUnknown
	}
	return e
}

func fromRow(r platformapi.Row) platform.Row {
	return platform.Row{Key: r.Key, Value: r.Value, Revision: r.Revision}
}

func fromTxn(t platform.Txn) *platformapi.Transaction {
	req := &platformapi.Transaction{
		Conditions: make([]platformapi.Condition, len(t.Conditions)),
		Writes:     make([]platformapi.Write, len(t.Writes)),
	}
	for i, c := range t.Conditions {
		req.Conditions[i] = platformapi.Condition{Key: c.Key, Revision: c.Revision}
	}
	for i, w := range t.Writes {
		req.Writes[i] = platformapi.Write{Key: w.Key, Value: w.Value}
		if w.Delete {
			req.Writes[i].Delete = platformapi.NewOptBool(true)
		}
	}
	return req
}

func firstKey(t platform.Txn) string {
	if len(t.Writes) == 0 {
		return ""
	}
	return t.Writes[0].Key
}

func afterParam(after string) platformapi.OptString {
	if after == "" {
		return platformapi.OptString{}
	}
	return platformapi.NewOptString(after)
}

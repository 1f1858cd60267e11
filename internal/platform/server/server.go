// Package server serves a fake platform over HTTP by the API that
// api/platform.yaml describes. The stand-in program and tests embed it.
//
// The server is where an outcome turns into a status: an operation that did
// not take effect is answered by a problem document that says so, and one
// whose outcome the caller must not learn gets no answer at all, since the
// connection is cut.
package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"go.opentelemetry.io/otel/metric/noop"

	"github.com/marlpass/marlpass/internal/gen/platformapi"
	"github.com/marlpass/marlpass/internal/platform"
	"github.com/marlpass/marlpass/internal/platform/fake"
)

// Largest bodies that the server reads.
const (
	MaxObject      = 16 << 20
	MaxTransaction = 8 << 20
)

const objectPath = "/v1/object"

// New returns the handler of the platform's API and of its switches.
func New(store *fake.Store) http.Handler {
	api, err := platformapi.NewServer(handler{store},
		platformapi.WithMeterProvider(noop.NewMeterProvider()),
		platformapi.WithErrorHandler(badRequest))
	if err != nil {
		// Only the meter provider can make it fail, and this one doesn't.
		panic(err)
	}
	return bounded(api)
}

// bounded limits the size of request bodies.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limit := int64(MaxTransaction)
		if r.URL.Path == objectPath {
			limit = MaxObject
		}
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		next.ServeHTTP(w, r)
	})
}

type handler struct{ store *fake.Store }

var _ platformapi.Handler = handler{}

// GetRow implements platformapi.Handler.
func (h handler) GetRow(ctx context.Context, p platformapi.GetRowParams) (platformapi.GetRowRes, error) {
	row, err := h.store.Table().Get(ctx, p.Key)
	if errors.Is(err, platform.ErrNotFound) {
		return notFound(), nil
	}
	if err != nil {
		return nil, err
	}
	out := toRow(row)
	return &out, nil
}

// ScanRows implements platformapi.Handler.
func (h handler) ScanRows(ctx context.Context, p platformapi.ScanRowsParams) (*platformapi.Rows, error) {
	rows, err := h.store.Table().Scan(ctx, p.Prefix, p.After.Or(""), p.Limit)
	if err != nil {
		return nil, err
	}
	out := &platformapi.Rows{Rows: make([]platformapi.Row, len(rows))}
	for i, row := range rows {
		out.Rows[i] = toRow(row)
	}
	return out, nil
}

// Commit implements platformapi.Handler.
func (h handler) Commit(ctx context.Context, req *platformapi.Transaction) (platformapi.CommitRes, error) {
	err := h.store.Table().Commit(ctx, toTxn(req))
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return &platformapi.Conflict{
			Title:  "A condition did not hold",
			Status: http.StatusConflict,
			Code:   platformapi.ConflictCodeConflict,
			Keys:   conflict.Keys,
		}, nil
	}
	if err != nil {
		return nil, answerOrCut(err)
	}
	return &platformapi.CommitNoContent{}, nil
}

// GetObject implements platformapi.Handler.
func (h handler) GetObject(ctx context.Context, p platformapi.GetObjectParams) (platformapi.GetObjectRes, error) {
	data, err := h.store.Objects().Get(ctx, p.Name)
	if errors.Is(err, platform.ErrNotFound) {
		return notFound(), nil
	}
	if err != nil {
		return nil, err
	}
	return &platformapi.GetObjectOK{Data: bytes.NewReader(data)}, nil
}

// PutObject implements platformapi.Handler.
func (h handler) PutObject(ctx context.Context, req platformapi.PutObjectReq, p platformapi.PutObjectParams) error {
	// A body cut short ends in an error here, so no part of an object is kept.
	data, err := io.ReadAll(req.Data)
	if err != nil {
		return &bodyError{err}
	}
	return answerOrCut(h.store.Objects().Put(ctx, p.Name, data))
}

// DeleteObject implements platformapi.Handler.
func (h handler) DeleteObject(ctx context.Context, p platformapi.DeleteObjectParams) error {
	return answerOrCut(h.store.Objects().Delete(ctx, p.Name))
}

// ListObjects implements platformapi.Handler.
func (h handler) ListObjects(ctx context.Context, p platformapi.ListObjectsParams) (*platformapi.Names, error) {
	names, err := h.store.Objects().List(ctx, p.Prefix, p.After.Or(""), p.Limit)
	if err != nil {
		return nil, err
	}
	if names == nil {
		names = []string{}
	}
	return &platformapi.Names{Names: names}, nil
}

func toRow(r platform.Row) platformapi.Row {
	value := r.Value
	if value == nil {
		value = []byte{}
	}
	return platformapi.Row{Key: r.Key, Value: value, Revision: r.Revision}
}

func toTxn(req *platformapi.Transaction) platform.Txn {
	t := platform.Txn{
		Conditions: make([]platform.Condition, len(req.Conditions)),
		Writes:     make([]platform.Write, len(req.Writes)),
	}
	for i, c := range req.Conditions {
		t.Conditions[i] = platform.Condition{Key: c.Key, Revision: c.Revision}
	}
	for i, w := range req.Writes {
		t.Writes[i] = platform.Write{Key: w.Key, Value: w.Value, Delete: w.Delete.Or(false)}
	}
	return t
}

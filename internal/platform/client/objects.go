package client

import (
	"bytes"
	"context"
	"io"

	"github.com/marlpass/marlpass/internal/gen/platformapi"
	"github.com/marlpass/marlpass/internal/platform"
)

type objects struct{ c *Client }

// Put implements platform.Objects.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	op := operation{name: "put object", key: name, write: true, idempotent: true}
	if len(data) > MaxObject {
		return &Error{Op: op.name, Name: op.key, Kind: platform.ErrUnavailable, Cause: errTooLarge}
	}
	params := platformapi.PutObjectParams{Name: name}
	return o.c.do(ctx, op, func(ctx context.Context) error {
		return o.c.api.PutObject(ctx, platformapi.PutObjectReq{Data: bytes.NewReader(data)}, params)
	})
}

// Get implements platform.Objects.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	var res platformapi.GetObjectRes
	op := operation{name: "get object", key: name, idempotent: true}
	err := o.c.do(ctx, op, func(ctx context.Context) (err error) {
		res, err = o.c.api.GetObject(ctx, platformapi.GetObjectParams{Name: name})
		return err
	})
	if err != nil {
		return nil, err
	}
	switch res := res.(type) {
	case *platformapi.GetObjectOK:
		// The generated client has read the body whole, within the bound.
		return io.ReadAll(res.Data)
	case *platformapi.NotFound:
		return nil, platform.ErrNotFound
	}
	return nil, unexpected(op, res)
}

// Delete implements platform.Objects.
func (o objects) Delete(ctx context.Context, name string) error {
	op := operation{name: "delete object", key: name, write: true, idempotent: true}
	return o.c.do(ctx, op, func(ctx context.Context) error {
		return o.c.api.DeleteObject(ctx, platformapi.DeleteObjectParams{Name: name})
	})
}

// List implements platform.Objects.
func (o objects) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var res *platformapi.Names
	op := operation{name: "list objects", key: prefix, idempotent: true}
	params := platformapi.ListObjectsParams{Prefix: prefix, After: afterParam(after), Limit: limit}
	err := o.c.do(ctx, op, func(ctx context.Context) (err error) {
		res, err = o.c.api.ListObjects(ctx, params)
		return err
	})
	if err != nil {
		return nil, err
	}
	return res.Names, nil
}

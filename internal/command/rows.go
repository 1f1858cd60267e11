package command

import (
	"encoding/json"
	"fmt"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/platform"
)

// MaxRow bounds the size of a row that is decoded, in bytes.
const MaxRow = 1 << 20

// Head is the content of the head row: the newest accepted version and where
// to find it.
type Head struct {
	Version config.Version `json:"version"`
	// Floor is the number of the oldest log row.
	Floor uint64 `json:"floor"`
	// Snapshots are the versions in the object store, newest first.
	Snapshots []config.Version `json:"snapshots,omitempty"`
	// Retired are snapshots no longer referred to, whose objects still have
	// to be deleted.
	Retired []config.Hash `json:"retired,omitempty"`

	revision uint64
}

// Record is the content of a command row.
type Record struct {
	Digest   string `json:"digest"`
	Operator string `json:"operator"`
	Team     string `json:"team"`
	Result   Result `json:"result"`
}

// SnapshotName returns the name of a snapshot in the object store.
func SnapshotName(h config.Hash) string { return platform.SnapshotPrefix + h.String() }

// firstHead is the head of a platform that holds no version yet.
func firstHead() Head { return Head{Version: config.Empty().Version(), Floor: 1} }

func decodeHead(r platform.Row) (Head, error) {
	var h Head
	if err := decodeRow(r, &h); err != nil {
		return Head{}, err
	}
	h.revision = r.Revision
	return h, nil
}

func decodeDelta(r platform.Row) (*config.Delta, error) {
	d := new(config.Delta)
	if err := decodeRow(r, d); err != nil {
		return nil, err
	}
	if platform.LogKey(d.To.Number) != r.Key {
		return nil, &RowError{Key: r.Key, Err: fmt.Errorf("holds version %d", d.To.Number)}
	}
	return d, nil
}

func decodeRow(r platform.Row, into any) error {
	if len(r.Value) > MaxRow {
		return &RowError{Key: r.Key, Err: config.ErrTooLarge}
	}
	if err := json.Unmarshal(r.Value, into); err != nil {
		return &RowError{Key: r.Key, Err: err}
	}
	return nil
}

func encodeRow(key string, v any) (platform.Write, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return platform.Write{}, &RowError{Key: key, Err: err}
	}
	return platform.Write{Key: key, Value: b}, nil
}

func headCondition(h Head) platform.Condition {
	return platform.Condition{Key: platform.HeadKey, Revision: h.revision}
}

func commandKey(id string) string { return platform.CommandPrefix + id }

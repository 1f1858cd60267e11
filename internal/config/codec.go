package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// MaxDecoded bounds the size of a decoded snapshot or list of deltas, in bytes.
// It guards the memory of a node against a damaged or hostile peer, whose few
// kilobytes could otherwise expand to gigabytes.
const MaxDecoded = 16 << 20

// snapshotJSON is the encoded form of a Snapshot. The hash is sent along so
// that the receiver finds damage.
type snapshotJSON struct {
	Version Version  `json:"version"`
	Parent  Hash     `json:"parent"`
	Objects []Object `json:"objects"`
}

// The encoder and decoder are safe for use by several goroutines through
// EncodeAll and DecodeAll.
var (
	encoder = sync.OnceValue(func() *zstd.Encoder {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
		if err != nil {
			panic("config: zstd encoder: " + err.Error())
		}
		return e
	})
	decoder = sync.OnceValue(func() *zstd.Decoder {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(0), zstd.WithDecoderMaxMemory(MaxDecoded))
		if err != nil {
			panic("config: zstd decoder: " + err.Error())
		}
		return d
	})
)

// EncodeSnapshot returns s as compressed JSON.
func EncodeSnapshot(s *Snapshot) ([]byte, error) {
	return compress(snapshotJSON{Version: s.version, Parent: s.parent, Objects: s.objects})
}

// DecodeSnapshot reads what EncodeSnapshot wrote. It returns ErrHashMismatch
// unless the content has the hash that it names.
func DecodeSnapshot(b []byte) (*Snapshot, error) {
	var v snapshotJSON
	if err := expand(b, &v); err != nil {
		return nil, err
	}
	s, err := New(v.Version.Number, v.Parent, v.Objects)
	if err != nil {
		return nil, err
	}
	if s.version != v.Version {
		return nil, ErrHashMismatch
	}
	return s, nil
}

// EncodeDeltas returns ds as compressed JSON.
func EncodeDeltas(ds []*Delta) ([]byte, error) { return compress(ds) }

// DecodeDeltas reads what EncodeDeltas wrote. The deltas are not verified:
// Delta.Apply does that.
func DecodeDeltas(b []byte) ([]*Delta, error) {
	var ds []*Delta
	if err := expand(b, &ds); err != nil {
		return nil, err
	}
	for _, d := range ds {
		if d == nil {
			return nil, fmt.Errorf("%w: null delta", ErrBadEncoding)
		}
	}
	return ds, nil
}

// ApplyAll applies ds one after the other. It returns s itself with the error
// of the first that fails, so that a chain is taken whole or not at all.
func ApplyAll(s *Snapshot, ds []*Delta) (*Snapshot, error) {
	next := s
	for _, d := range ds {
		var err error
		if next, err = d.Apply(next); err != nil {
			return s, err
		}
	}
	return next, nil
}

func compress(v any) ([]byte, error) {
	plain, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	if len(plain) > MaxDecoded {
		return nil, ErrTooLarge
	}
	return encoder().EncodeAll(plain, nil), nil
}

func expand(b []byte, into any) error {
	plain, err := decoder().DecodeAll(b, nil)
	if errors.Is(err, zstd.ErrDecoderSizeExceeded) || errors.Is(err, zstd.ErrWindowSizeExceeded) {
		return fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	if err == nil {
		err = json.Unmarshal(plain, into)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrBadEncoding, err)
	}
	return nil
}

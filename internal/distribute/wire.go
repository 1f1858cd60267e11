package distribute

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

const (
	// compressMinBytes is the size from which changes are compressed; smaller ones gain little or
	// grow.
	compressMinBytes = 512
	// maxUnpackedBytes bounds the memory that a small message can take when it decompresses to a
	// large one.
	maxUnpackedBytes = 32 << 20
	// MaxPushedBytes is the same bound for pushed changes. A node pulls from one peer at a time,
	// but receives pushes from any number at once, and refuses larger ones.
	MaxPushedBytes = 256 << 10
)

var (
	encoder     = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20)))
	decoder     = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpackedBytes)))
	pushDecoder = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxPushedBytes)))
)

func must[T any](v T, err error) T {
	if err != nil {
		panic("distribute: " + err.Error()) // only invalid options cause this
	}
	return v
}

// Pack encodes deltas or a snapshot for a message, or returns nil for neither.
func Pack(ds []*config.Delta, snap *config.Snapshot) (*peerpb.Packed, error) {
	if len(ds) == 0 && snap == nil {
		return nil, nil
	}
	c := new(peerpb.Changes)
	for _, d := range ds {
		c.Deltas = append(c.Deltas, deltaToProto(d))
	}
	if snap != nil {
		c.Snapshot = snapshotToProto(snap)
	}
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("distribute: encode changes: %w", err)
	}
	if len(data) < compressMinBytes {
		return &peerpb.Packed{Data: data}, nil
	}
	small := encoder.EncodeAll(data, nil)
	if len(small) >= len(data) {
		return &peerpb.Packed{Data: data}, nil
	}
	return &peerpb.Packed{Data: small, Zstd: true}, nil
}

// Unpack decodes the output of Pack. Every error wraps ErrBadAnswer.
func Unpack(p *peerpb.Packed) ([]*config.Delta, *config.Snapshot, error) {
	return unpack(p, decoder, maxUnpackedBytes)
}

// UnpackPushed is Unpack for pushed changes, with a smaller size limit.
func UnpackPushed(p *peerpb.Packed) ([]*config.Delta, error) {
	ds, _, err := unpackPushed(p)
	return ds, err
}

// unpackPushed is Unpack with the size limit for pushed changes.
func unpackPushed(p *peerpb.Packed) ([]*config.Delta, *config.Snapshot, error) {
	return unpack(p, pushDecoder, MaxPushedBytes)
}

func unpack(p *peerpb.Packed, d *zstd.Decoder, limit int) ([]*config.Delta, *config.Snapshot, error) {
	if p == nil {
		return nil, nil, nil
	}
	data := p.Data
	if p.Zstd {
		var err error
		if data, err = d.DecodeAll(p.Data, nil); err != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrBadAnswer, err)
		}
	}
	if len(data) > limit {
		return nil, nil, fmt.Errorf("%w: %d bytes of changes", ErrBadAnswer, len(data))
	}
	c := new(peerpb.Changes)
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrBadAnswer, err)
	}
	return changesFromProto(c)
}

func changesFromProto(c *peerpb.Changes) ([]*config.Delta, *config.Snapshot, error) {
	var ds []*config.Delta
	for _, m := range c.Deltas {
		d, err := deltaFromProto(m)
		if err != nil {
			return nil, nil, err
		}
		ds = append(ds, d)
	}
	if c.Snapshot == nil {
		return ds, nil, nil
	}
	parent, err := hashFromBytes(c.Snapshot.Parent)
	if err != nil {
		return nil, nil, err
	}
	snap, err := config.New(c.Snapshot.Number, parent, objectsFromProto(c.Snapshot.Objects))
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrBadAnswer, err)
	}
	return ds, snap, nil
}

func deltaToProto(d *config.Delta) *peerpb.Delta {
	m := &peerpb.Delta{
		Number: d.To.Number, Parent: d.From.Hash[:], Hash: d.To.Hash[:],
		By: d.By, Team: d.Team, AtMs: d.AtMS, Command: d.Command, Note: d.Note,
		Set: objectsToProto(d.Set),
	}
	for _, k := range d.Unset {
		m.Unset = append(m.Unset, &peerpb.Key{Kind: string(k.Kind), Name: k.Name})
	}
	return m
}

func deltaFromProto(m *peerpb.Delta) (*config.Delta, error) {
	if m.Number == 0 {
		return nil, fmt.Errorf("%w: a delta to version 0", ErrBadAnswer)
	}
	parent, err := hashFromBytes(m.Parent)
	if err != nil {
		return nil, err
	}
	hash, err := hashFromBytes(m.Hash)
	if err != nil {
		return nil, err
	}
	d := &config.Delta{
		From: config.Version{Number: m.Number - 1, Hash: parent},
		To:   config.Version{Number: m.Number, Hash: hash},
		By:   m.By, Team: m.Team, AtMS: m.AtMs, Command: m.Command, Note: m.Note,
		Set: objectsFromProto(m.Set),
	}
	for _, k := range m.Unset {
		d.Unset = append(d.Unset, config.Key{Kind: config.Kind(k.Kind), Name: k.Name})
	}
	return d, nil
}

func snapshotToProto(s *config.Snapshot) *peerpb.Snapshot {
	parent := s.Parent()
	return &peerpb.Snapshot{
		Number: s.Version().Number, Parent: parent[:], Objects: objectsToProto(s.Objects()),
	}
}

func objectsToProto(objects []config.Object) []*peerpb.Object {
	out := make([]*peerpb.Object, len(objects))
	for i, o := range objects {
		out[i] = &peerpb.Object{Kind: string(o.Key.Kind), Name: o.Key.Name, Raw: o.Raw}
	}
	return out
}

func objectsFromProto(ms []*peerpb.Object) []config.Object {
	out := make([]config.Object, len(ms))
	for i, m := range ms {
		out[i] = config.Object{Key: config.Key{Kind: config.Kind(m.Kind), Name: m.Name}, Raw: m.Raw}
	}
	return out
}

func hashFromBytes(b []byte) (config.Hash, error) {
	var h config.Hash
	if len(b) != config.HashSize {
		return h, fmt.Errorf("%w: a hash of %d bytes", ErrBadAnswer, len(b))
	}
	copy(h[:], b)
	return h, nil
}

// versionFromProto decodes a version from a message. The hash may be absent only for version 0,
// which has a single hash.
func versionFromProto(number uint64, hash []byte) (config.Version, error) {
	if number == 0 {
		return config.Empty().Version(), nil
	}
	h, err := hashFromBytes(hash)
	return config.Version{Number: number, Hash: h}, err
}

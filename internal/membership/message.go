package membership

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
)

// stamp orders the records of one node.
type stamp struct{ incarnation, sequence uint64 }

func (a stamp) newer(b stamp) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	return a.sequence > b.sequence
}

func (r *Record) stamp() stamp { return stamp{r.VM.Incarnation, r.Sequence} }

func keyOf(id string) uint64 { return xxhash.Sum64String(id) }

func shortKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// hashStamp is a record's share of the digest of its data centre.
func hashStamp(key uint64, st stamp) uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], key)
	binary.LittleEndian.PutUint64(b[8:], st.incarnation)
	binary.LittleEndian.PutUint64(b[16:], st.sequence)
	return xxhash.Sum64(b[:])
}

func encodeRecord(r *Record) *peerpb.Record {
	p := &peerpb.Record{
		Id:            r.VM.ID,
		Region:        r.VM.Region,
		DataCentre:    r.VM.DataCentre,
		ControlAddr:   r.VM.ControlAddr,
		CallAddr:      r.VM.CallAddr,
		LinkMbps:      r.VM.LinkMbps,
		AdminAddr:     r.VM.AdminAddr,
		Incarnation:   r.VM.Incarnation,
		Sequence:      r.Sequence,
		State:         uint32(r.State),
		Applied:       r.AppliedVersion,
		Refused:       r.RefusedVersion,
		RefusedReason: r.RefusedReason,
	}
	if r.AppliedHash != [8]byte{} {
		p.AppliedHash = bytes.Clone(r.AppliedHash[:]) // p outlives the lock on r
	}
	for _, b := range r.Backends {
		p.Backends = append(p.Backends, &peerpb.Backend{
			Service:      b.Service,
			Instance:     b.Instance,
			Slots:        uint32(b.Slots),
			State:        uint32(b.State),
			ReadySinceMs: b.ReadySince,
			Version:      b.Version,
			Canary:       b.Canary,
		})
	}
	for _, n := range r.Notices {
		p.Notices = append(p.Notices, &peerpb.Notice{
			Kind:      n.Kind,
			Id:        n.ID,
			Detail:    n.Detail,
			ExpiresMs: n.Expires,
		})
	}
	return p
}

func decodeRecord(p *peerpb.Record) Record {
	r := Record{
		VM: VM{
			ID:          p.GetId(),
			Region:      p.GetRegion(),
			DataCentre:  p.GetDataCentre(),
			ControlAddr: p.GetControlAddr(),
			CallAddr:    p.GetCallAddr(),
			LinkMbps:    p.GetLinkMbps(),
			AdminAddr:   p.GetAdminAddr(),
			Incarnation: p.GetIncarnation(),
		},
		Sequence:       p.GetSequence(),
		State:          VMState(p.GetState()),
		AppliedVersion: p.GetApplied(),
		RefusedVersion: p.GetRefused(),
		RefusedReason:  p.GetRefusedReason(),
	}
	copy(r.AppliedHash[:], p.GetAppliedHash())
	for _, b := range p.GetBackends() {
		r.Backends = append(r.Backends, Backend{
			Service:    b.GetService(),
			Instance:   b.GetInstance(),
			Slots:      int(b.GetSlots()),
			State:      BackendState(b.GetState()),
			ReadySince: b.GetReadySinceMs(),
			Version:    b.GetVersion(),
			Canary:     b.GetCanary(),
		})
	}
	for _, n := range p.GetNotices() {
		r.Notices = append(r.Notices, Notice{
			Kind:    n.GetKind(),
			ID:      n.GetId(),
			Detail:  n.GetDetail(),
			Expires: n.GetExpiresMs(),
		})
	}
	return r
}

// maxSlots bounds the slots of one backend server; a larger number is a fault.
const maxSlots = 1 << 20

// allowed tells whether a record from a peer is well formed and within bounds.
func (l *Limits) allowed(p *peerpb.Record) bool {
	if p.GetId() == "" || p.GetDataCentre() == "" || p.GetIncarnation() == 0 {
		return false
	}
	if st := VMState(p.GetState()); st != VMAlive && st != VMLeaving {
		return false
	}
	if len(p.GetBackends()) > l.Backends || len(p.GetNotices()) > l.Notices || len(p.GetAppliedHash()) > 8 {
		return false
	}
	ok := l.short(p.GetId(), p.GetRegion(), p.GetDataCentre(), p.GetControlAddr(),
		p.GetCallAddr(), p.GetAdminAddr(), p.GetRefusedReason())
	for _, b := range p.GetBackends() {
		ok = ok && l.short(b.GetService(), b.GetInstance(), b.GetVersion()) && b.GetSlots() <= maxSlots
		ok = ok && b.GetState() >= uint32(BackendStarting) && b.GetState() <= uint32(BackendDraining)
	}
	for _, n := range p.GetNotices() {
		ok = ok && l.short(n.GetKind(), n.GetId(), n.GetDetail())
	}
	return ok
}

func (l *Limits) short(ss ...string) bool {
	for _, s := range ss {
		if len(s) > l.StringBytes {
			return false
		}
	}
	return true
}

const digestEntry = 14 // bytes a data centre

// maxDigest bounds the data centres that a peer can name.
const maxDigest = 64

// centreDigest is one data centre in a digest.
type centreDigest struct {
	key  uint32
	hash uint64
	age  time.Duration // since it was last heard
}

func appendDigest(b []byte, d centreDigest) []byte {
	b = binary.LittleEndian.AppendUint32(b, d.key)
	b = binary.LittleEndian.AppendUint64(b, d.hash)
	return binary.LittleEndian.AppendUint16(b, uint16(min((d.age+ageMargin)/ageUnit, oldestAge)))
}

// An age is told a little higher than it is. Were it rounded down, or the time
// on the way left out, each message would make the word of a data centre
// slightly younger; passed round among many nodes it would never grow old, and
// a cut would never be noticed.
const (
	ageUnit   = 100 * time.Millisecond
	ageMargin = 500 * time.Millisecond
	oldestAge = 1<<16 - 1 // stands for anything older
)

func parseDigest(b []byte) []centreDigest {
	n := min(len(b)/digestEntry, maxDigest)
	ds := make([]centreDigest, 0, n)
	for i := range n {
		e := b[i*digestEntry:]
		ds = append(ds, centreDigest{
			key:  binary.LittleEndian.Uint32(e),
			hash: binary.LittleEndian.Uint64(e[4:]),
			age:  time.Duration(binary.LittleEndian.Uint16(e[12:])) * ageUnit,
		})
	}
	return ds
}

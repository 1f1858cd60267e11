package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// Order is what an operator asks for.
type Order struct {
	Service string
	// Target is the version that the service's calls are to move to.
	Target string
	// TimeLimit is how long the rollout may take from the order on.
	TimeLimit time.Duration
	// Revision is that of the order's row: a later order of the same service has a
	// higher one.
	Revision uint64
}

// Errors of an order.
var (
	ErrNoService = errors.New("rollout: the order names no service")
	ErrNoTarget  = errors.New("rollout: the order names no version")
	ErrTooShort  = errors.New("rollout: the order leaves no time")
)

// Check returns why an order can't be carried out, or nil.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return ErrNoService
	case o.Target == "":
		return ErrNoTarget
	case o.TimeLimit <= 0:
		return ErrTooShort
	}
	return nil
}

// Phase is how far a rollout has come.
type Phase string

// Phases of a rollout.
const (
	Running    Phase = "running"
	Draining   Phase = "draining"
	Completed  Phase = "completed"
	RolledBack Phase = "rolled_back"
)

// Final reports whether no other phase follows.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// maxCondemned bounds the versions that a record names as rolled back.
const maxCondemned = 8

// Record is what lasts of the rollouts of a service. It is a row of the platform's
// table, written under the lease.
type Record struct {
	Order  uint64 `json:"order"`
	Target string `json:"target"`
	Phase  Phase  `json:"phase"`
	Reason string `json:"reason,omitempty"`
	// Started is when the first conductor heard of the order, in Unix milliseconds.
	Started int64 `json:"started_ms"`
	// Replaced names the versions that the target takes the place of, once the
	// baseline drains.
	Replaced []string `json:"replaced,omitempty"`
	// Rejected names the versions that were rolled back and not ordered since, the
	// latest last.
	Rejected []string `json:"condemned,omitempty"`
}

// RecordKey returns the key of the record of a service.
func RecordKey(service string) string { return platform.RolloutPrefix + service }

// Encode returns the value of the row.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // texts and numbers always encode
	}
	return data
}

// DecodeRecord reads the value of a row.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("rollout: decode a record: %w", err)
	}
	return r, nil
}

// begin returns the record of a new order, after the one before.
func (r Record) begin(o Order, now time.Time) Record {
	condemned := make([]string, 0, maxCondemned)
	for _, v := range r.Rejected {
		if v != o.Target {
			condemned = append(condemned, v)
		}
	}
	if r.Target != "" && r.Target != o.Target && r.Phase != Completed {
		condemned = append(condemned, r.Target)
	}
	condemned = condemned[max(0, len(condemned)-maxCondemned):]
	return Record{Order: o.Revision, Target: o.Target, Phase: Running, Started: now.UnixMilli(), Rejected: condemned}
}

// Orders reads operators' orders and writes what they read of them.
type Orders interface {
	// Order returns the newest order for a service, and false if there is none.
	Order(ctx context.Context, service string) (Order, bool, error)
	// Status returns the write by which operators learn of a record. It goes into
	// the transaction that writes the record.
	Status(service string, r Record) platform.Write
}

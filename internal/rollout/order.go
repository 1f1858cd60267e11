package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// Order is an operator's order for a rollout.
type Order struct {
	Service string
	// Target is the version that the service's calls move to.
	Target string
	// TimeLimit is the maximum duration of the rollout, counted from the order.
	TimeLimit time.Duration
	// Revision is the revision of the order's row. A later order for the same service has a higher
	// one.
	Revision uint64
}

// Errors of Order.Check.
var (
	ErrNoService = errors.New("rollout: the order names no service")
	ErrNoTarget  = errors.New("rollout: the order names no version")
	ErrTooShort  = errors.New("rollout: the order's duration is not positive")
)

// Check returns an error if the order can't be carried out.
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

// Phase is the phase of a rollout.
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

// maxRejected bounds the versions that a record lists as rolled back.
const maxRejected = 8

// Record is the stored state of a service's rollouts. It is a row of the platform's table, written
// under the lease.
type Record struct {
	Order  uint64 `json:"order"`
	Target string `json:"target"`
	Phase  Phase  `json:"phase"`
	Reason string `json:"reason,omitempty"`
	// Started is when the first coordinator received the order, in Unix milliseconds.
	Started int64 `json:"started_ms"`
	// Replaced lists the versions that the target replaces, once the baseline drains.
	Replaced []string `json:"replaced,omitempty"`
	// Rejected lists the versions that were rolled back and not ordered since, the latest last.
	Rejected []string `json:"condemned,omitempty"`
}

// RecordKey returns the key of a service's record.
func RecordKey(service string) string { return platform.RolloutPrefix + service }

// Encode returns the value of the record's row.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// DecodeRecord decodes the value of a row.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("rollout: decode a record: %w", err)
	}
	return r, nil
}

// nextOrder returns the record of a new order that follows r.
func (r Record) nextOrder(o Order, now time.Time) Record {
	rejected := make([]string, 0, maxRejected)
	for _, v := range r.Rejected {
		if v != o.Target {
			rejected = append(rejected, v)
		}
	}
	if r.Target != "" && r.Target != o.Target && r.Phase != Completed {
		rejected = append(rejected, r.Target)
	}
	rejected = rejected[max(0, len(rejected)-maxRejected):]
	return Record{Order: o.Revision, Target: o.Target, Phase: Running, Started: now.UnixMilli(), Rejected: rejected}
}

// Orders reads operators' orders and writes their status.
type Orders interface {
	// Order returns the newest order for a service, and false if there is none.
	Order(ctx context.Context, service string) (Order, bool, error)
	// Status returns the write that reports a record to operators. It is part of the transaction
	// that writes the record.
	Status(service string, r Record) platform.Write
}

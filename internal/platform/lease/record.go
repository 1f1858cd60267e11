package lease

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// record is the value of the fence row.
type record struct {
	// Holder is empty when the lease was given back.
	Holder string `json:"holder,omitempty"`
	// Token rises by one each time the lease is taken. The row is never
	// deleted, so that it never starts again.
	Token uint64 `json:"token"`
	// Length is the holder's, so contenders with other settings wait as long
	// as the holder expects them to.
	Length time.Duration `json:"length_ns"`
}

func (r record) encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // a string and two numbers always encode
	}
	return data
}

func decode(row platform.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, fmt.Errorf("lease: row %s: %w", row.Key, err)
	}
	return r, nil
}

func renewalKey(key string) string { return key + "/renewal" }

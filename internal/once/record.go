package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/marlpass/marlpass/internal/platform"
)

// StoredOutcome is the outcome of a request, kept for its resends.
type StoredOutcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Truncated says that the body was too large to keep and is gone. The
	// status and header are whole.
	Truncated bool `json:"truncated,omitempty"`
}

// row is the value of a platform row. A row is claimed from when it is made
// until it has an Outcome, which never changes after.
type row struct {
	// Nonce is known to one claimant only. A claimant whose write got no
	// answer recognises its own row by it.
	Nonce       string   `json:"nonce"`
	Holder      string   `json:"holder"`
	Fingerprint [32]byte `json:"fingerprint"`
	// ClaimedAt is by the claimant's clock, in Unix milliseconds. Only the
	// time until a repeat is told "unknown" and the expiry depend on it, and
	// never whether a request runs.
	ClaimedAt int64          `json:"claimed_at"`
	Outcome   *StoredOutcome `json:"outcome,omitempty"`
	// Lost says that the claimant knows that the outcome never will be known,
	// so that no one need wait for it.
	Lost bool `json:"lost,omitempty"`
}

func (r row) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("once: encode the row: %w", err)
	}
	return b, nil
}

func decodeRow(b []byte) (row, error) {
	var r row
	if err := json.Unmarshal(b, &r); err != nil {
		return row{}, fmt.Errorf("once: decode the row: %w", err)
	}
	return r, nil
}

func (r row) claimedAt() time.Time { return time.UnixMilli(r.ClaimedAt) }

// maxKeyLength bounds the escaped key of a caller within a row's key.
const maxKeyLength = 256

// rowKey is the platform key of a request. Both parts are escaped, so that no
// service and key can be taken for another pair.
//
// A long key stands there as its hash, behind a slash, which no escaped key
// holds. The platform takes no transaction with a row's key over 512 bytes, and
// one caller's key would fail the claims of others that share it.
func rowKey(service, key string) string {
	prefix := platform.OncePrefix + url.PathEscape(service) + "/"
	if escaped := url.PathEscape(key); len(escaped) <= maxKeyLength {
		return prefix + escaped
	}
	sum := sha256.Sum256([]byte(key))
	return prefix + "sha256/" + hex.EncodeToString(sum[:])
}

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

// StoredOutcome is the outcome of a request, stored for its resends.
type StoredOutcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Truncated means that the body was over the limit and was dropped. The status and header are
	// complete.
	Truncated bool `json:"truncated,omitempty"`
}

// row is the value of a platform row. The request is claimed from the creation of the row until
// it has an Outcome, which never changes afterwards.
type row struct {
	// Nonce is known to one claimant only. A claimant whose write got no response recognises its
	// own row by it.
	Nonce       string   `json:"nonce"`
	Holder      string   `json:"holder"`
	Fingerprint [32]byte `json:"fingerprint"`
	// ClaimedAt is by the claimant's clock, in Unix milliseconds. Only the row's expiry and the
	// time until a resend gets "unknown" depend on it, never whether a request runs.
	ClaimedAt int64          `json:"claimed_at"`
	Outcome   *StoredOutcome `json:"outcome,omitempty"`
	// Lost means that the outcome will never be known, so resends need not wait for it.
	Lost bool `json:"lost,omitempty"`
}

func (r row) encode() ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("once: encode row: %w", err)
	}
	return b, nil
}

func decodeRow(b []byte) (row, error) {
	var r row
	if err := json.Unmarshal(b, &r); err != nil {
		return row{}, fmt.Errorf("once: decode row: %w", err)
	}
	return r, nil
}

func (r row) claimedAt() time.Time { return time.UnixMilli(r.ClaimedAt) }

// maxKeyLength bounds the escaped caller's key within a row key, in bytes.
const maxKeyLength = 256

// rowKey returns the platform key of a request. Both parts are escaped, so that different pairs
// of service and key have different row keys.
//
// A long key is replaced by its hash behind a slash, which no escaped key contains. The platform
// rejects transactions with a row key over 512 bytes, so one caller's long key would fail the
// claims that share its transaction.
func rowKey(service, key string) string {
	prefix := platform.OncePrefix + url.PathEscape(service) + "/"
	if escaped := url.PathEscape(key); len(escaped) <= maxKeyLength {
		return prefix + escaped
	}
	sum := sha256.Sum256([]byte(key))
	return prefix + "sha256/" + hex.EncodeToString(sum[:])
}

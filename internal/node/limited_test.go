package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/quota"
)

// Guards against a log that calls a workspace over its quota while all of its calls pass.
func TestNearItsQuotaIsNotOver(t *testing.T) {
	var out bytes.Buffer
	w := &workspaces{log: zerolog.New(&out), collector: quota.NewCollector(), limited: make(map[string]time.Time)}
	w.logLimited(time.Now(), []quota.Part{{Workspace: "w", Part: 1}}, nil)
	if out.Len() > 0 {
		t.Errorf("logged: %s", out.String())
	}
}

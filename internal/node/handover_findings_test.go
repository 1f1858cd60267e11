package node

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/distribute"
)

// Guards against findings that grow without bound, lose the newest entry, or include conflicts.
func TestLastFindingsAreKept(t *testing.T) {
	f := new(findings)
	now := time.Unix(1_700_000_000, 0)
	for i := range maxFindings + 3 {
		f.add(now, &distribute.BadPeer{Peer: fmt.Sprint("vm-", i), Err: errors.New("does not verify")})
	}
	f.add(now, &distribute.Conflict{Source: "vm-99"})
	got := f.list()
	if len(got) != maxFindings || got[0].Kind != "bad_peer" || got[0].Detail != "distribute: peer vm-10: does not verify" {
		t.Errorf("%+v", got)
	}
}

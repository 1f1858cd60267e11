package node

import (
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// A node that somebody else ran sent alerts whose notices were as long as a
// message may be. Each was kept until it expired, up to 1,024 of them: hundreds
// of megabytes, where control may have 128. Records have long been bounded.
func TestLongNoticesOfAnAlertAreNotKept(t *testing.T) {
	now := time.Now()
	n := &Node{calls: &callPath{suspects: &suspects{list: quarantine.New(now, quarantine.Options{Self: "vm-0"})}}}
	notice := func(id, what string) *peerpb.Notice {
		return &peerpb.Notice{
			Kind: string(quarantine.KindSuspect), Id: strings.Repeat(id, 32),
			Detail:    `{"what":"` + what + `","crashes":[{"id":"vm-1/a/1.1"}]}`,
			ExpiresMs: now.Add(time.Minute).UnixMilli(),
		}
	}
	long := strings.Repeat("x", membership.DefaultLimits().String)
	alerts{n}.Alert("vm-1", []*peerpb.Notice{notice("1", long), notice("2", "GET /slips"), notice("3", long)})
	held := n.calls.suspects.list.Entries(now)
	if len(held) != 1 || held[0].What != "GET /slips" {
		t.Errorf("holds %d, of which the first is %.40q", len(held), held[0].What)
	}
}

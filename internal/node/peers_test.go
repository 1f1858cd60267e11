package node

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/command"
	"github.com/marlpass/marlpass/internal/config"
	"github.com/marlpass/marlpass/internal/gen/peerpb"
	"github.com/marlpass/marlpass/internal/membership"
	"github.com/marlpass/marlpass/internal/platform/memory"
	"github.com/marlpass/marlpass/internal/quarantine"
)

// Guards against a command from a compromised node that cannot be traced: the history names only
// the operator, who may not have sent it, so the log has to name the peer.
func TestCommandOfAPeerIsLogged(t *testing.T) {
	store := memory.New()
	log := command.NewReader(store, store.Objects(), command.SnapshotFunc(config.Empty))
	var out bytes.Buffer
	c := &control{n: &Node{log: zerolog.New(&out)}, commit: command.NewCommitter(log, store, command.Options{})}
	service := config.EncodeService(config.Service{Name: "berth", Team: "yard"})
	cmd, err := json.Marshal(command.Command{ID: "c-1", Operator: "nimal", Team: "yard", Set: []config.Object{service}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := (peerCommands{c}).Submit(context.Background(), "vm-7", cmd); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"peer":"vm-7"`, `"operator":"nimal"`, `"team":"yard"`, `"command":"c-1"`, "command: accepted for a peer"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in %s", want, out.String())
		}
	}
}

// Guards against alerts of a compromised node with notices of the maximum message size. Up to
// 1,024 of them were kept until they expired, hundreds of megabytes, where the control plane may
// use 128. Membership records already bound their notices.
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
	long := strings.Repeat("x", membership.DefaultLimits().StringBytes)
	alerts{n}.Alert("vm-1", []*peerpb.Notice{notice("1", long), notice("2", "GET /slips"), notice("3", long)})
	held := n.calls.suspects.list.Entries(now)
	if len(held) != 1 || held[0].RequestLine != "GET /slips" {
		t.Errorf("holds %d, of which the first is %.40q", len(held), held[0].RequestLine)
	}
}

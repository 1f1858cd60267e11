package node

import (
	"bytes"
	"maps"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/marlpass/marlpass/internal/membership"
)

// Guards the pattern of hundreds of nodes that start, or of a data centre that is lost: each node
// must not write a line for each other one.
func TestViewLinesAreBounded(t *testing.T) {
	const vms = 1200
	var out bytes.Buffer
	n := &Node{log: zerolog.New(&out), self: membership.VM{ID: "vm-0"}}
	all := newTestView(vms)
	n.logView(nil, all)
	if lines := strings.Count(out.String(), "\n"); lines != viewLines+1 {
		t.Errorf("%d lines about %d nodes", lines, vms)
	}
	if !strings.Contains(out.String(), `"came":1199,"gone":0,"changed":0,"left_out":1187,"nodes":1200`) {
		t.Errorf("the last line is %s", out.String()[strings.LastIndex(strings.TrimSpace(out.String()), "\n")+1:])
	}

	out.Reset()
	left := &membership.View{Self: all.Self, Records: maps.Clone(all.Records)}
	delete(left.Records, "vm-7")
	delete(left.Records, "vm-8")
	n.logView(all, left)
	if strings.Count(out.String(), "a node is gone") != 2 || strings.Count(out.String(), "\n") != 2 {
		t.Errorf("%s", out.String())
	}
}

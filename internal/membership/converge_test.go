package membership

import (
	"testing"
	"time"
)

func TestMeshConvergesFromNothing(t *testing.T) {
	for _, n := range []int{1, 2, 3, 12, 36, 108} {
		w := newMesh(n, 5, nil)
		took, ok := w.runUntil(3*time.Minute, w.settled)
		if !ok {
			t.Errorf("%d nodes: %s", n, w.unsettled())
		}
		t.Logf("%d nodes settled in %v, %d messages, %d bytes", n, took, w.messages, w.bytes)
	}
}

package node

import (
	"testing"
	"time"
)

// Guards against a collector that starts behind a partition and takes the shares of data centres that
// it can't reach, and against one that keeps them reserved after they answered.
func TestUnreachedDataCentresKeepTheirShare(t *testing.T) {
	now := time.Unix(1e6, 0)
	var r reachedCentres
	r.tried(now, "east", true)
	r.tried(now, "west", false)
	r.tried(now, "home", false) // another feeder of its own data centre
	if got := r.unreachedShare(now, "home"); got != 1.0/3 {
		t.Errorf("share %v with one of three unreached", got)
	}
	if got := r.unreachedShare(now.Add(unreachedFor+time.Second), "home"); got != 0 {
		t.Errorf("share %v after unreachedFor", got)
	}
	r.tried(now, "west", true)
	r.tried(now, "west", false)
	if got := r.unreachedShare(now, "home"); got != 0 {
		t.Errorf("share %v after all have answered", got)
	}
}

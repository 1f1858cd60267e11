package rollout

import (
	"testing"
	"time"
)

var testStart = time.Unix(1_700_000_000, 0)

func instruction(p Phase, c Grant) Instruction {
	return Instruction{Service: "s", Order: 7, Target: newVersion, Token: 3, Phase: p, Replaced: []string{oldVersion}, Grant: c}
}

func mixed(ready bool) OtherVersions {
	return OtherVersions{Present: true, Ready: ready, FirstSeen: testStart}
}

// Guards against a node that has just started and admits a server of a new version before it knows
// of the rollout.
func TestUnknownVersionWaitsForTheTable(t *testing.T) {
	var c AdmissionController
	if c.Admit(testStart, newVersion, mixed(true)).Open {
		t.Error("a server beside those of another version was admitted before the table was read")
	}
	if c.Admit(testStart, newVersion, OtherVersions{FirstSeen: testStart}).Open {
		t.Error("a server was admitted though this node may not see those of another version")
	}
	if !c.Admit(testStart, newVersion, OtherVersions{FirstSeen: testStart, Complete: true}).Open {
		t.Error("a server whose version is the only one was not admitted")
	}
	if _, ask := c.NextTableRead(newVersion, mixed(true)); !ask {
		t.Error("no read of the table is due")
	}
	c.ApplyTable(testStart, Order{}, Record{})
	if c.Admit(testStart, newVersion, mixed(true)).Open {
		t.Error("a server was admitted by one read, which may be stale")
	}
	due, ask := c.NextTableRead(newVersion, mixed(true))
	if !ask || due.Sub(testStart) != maxStaleness {
		t.Errorf("the next read is due after %s, %v", due.Sub(testStart), ask)
	}
	c.ApplyTable(due, Order{}, Record{})
	if !c.Admit(due, newVersion, mixed(true)).Open {
		t.Error("a server was not admitted though no rollout is ordered")
	}
}

// Guards against a server of a bad version that takes calls after a restart of its node, until its
// announcement tells which version it is.
func TestUnannouncedVersionTakesNoCallsDuringARollout(t *testing.T) {
	probed := OtherVersions{FirstSeen: testStart, Complete: true, Unannounced: true}
	var c AdmissionController
	if c.Admit(testStart, "", probed).Open {
		t.Error("admitted before the table was read")
	}
	if due, ask := c.NextTableRead("", probed); !ask || due.After(testStart) {
		t.Error("no read of the table is due")
	}
	for _, phase := range []Phase{Running, Draining, Completed, RolledBack} {
		var c AdmissionController
		c.ApplyTable(testStart, Order{Target: newVersion, Revision: 7}, Record{Order: 7, Target: newVersion, Phase: phase})
		if c.Admit(testStart, "", probed).Open {
			t.Errorf("%s: admitted though it may be of either version", phase)
		}
	}
	c.ApplyTable(testStart, Order{}, Record{})
	if !c.Admit(testStart, "", probed).Open {
		t.Error("not admitted though no rollout was ever ordered")
	}
}

// Guards against a server of a new version that takes calls because its node remembers the rollout
// before.
func TestLaterOrderIsReadForANewServer(t *testing.T) {
	var c AdmissionController
	first := Record{Order: 7, Target: newVersion, Phase: Completed, Replaced: []string{oldVersion}}
	c.ApplyTable(testStart, Order{Service: "s", Target: newVersion, Revision: 7}, first)
	later := testStart.Add(time.Minute)
	seen := OtherVersions{Present: true, Ready: true, Complete: true, FirstSeen: later}
	if c.Admit(later, "v3", seen).Open {
		t.Error("admitted before the table was read for it")
	}
	if due, ask := c.NextTableRead("v3", seen); !ask || due.After(later) {
		t.Error("no read of the table is due")
	}
	c.ApplyTable(later, Order{Service: "s", Target: "v3", Revision: 9}, first)
	if c.Admit(later, "v3", seen).Open {
		t.Error("admitted without a grant")
	}
}

// Guards against a service without any server, when all have restarted and the table is
// unavailable.
func TestServerAdmittedWhenNoOtherServes(t *testing.T) {
	var c AdmissionController
	if c.Admit(testStart, oldVersion, mixed(false)).Open {
		t.Error("admitted at once")
	}
	if !c.Admit(testStart.Add(maxUnknownWait), oldVersion, mixed(false)).Open {
		t.Error("not admitted after the wait")
	}
}

// Guards against a server of the new version that keeps taking calls when its coordinator is gone.
func TestGrantLapses(t *testing.T) {
	var c AdmissionController
	c.Apply(testStart, instruction(Running, Grant{Kind: GrantLimited, Calls: 2, TTL: time.Second}))
	if a := c.Admit(testStart, newVersion, OtherVersions{}); !a.Open || !a.Limited || a.Limit != 2 {
		t.Errorf("under a grant: %+v", a)
	}
	if c.Admit(testStart.Add(time.Second), newVersion, OtherVersions{}).Open {
		t.Error("open after the grant has expired")
	}
	if !c.Admit(testStart.Add(time.Second), oldVersion, OtherVersions{}).Open {
		t.Error("the baseline was closed")
	}
}

// Guards against a coordinator that was paused, lost its lease, and undoes the decisions of the
// next.
func TestOlderInstructionChangesNothing(t *testing.T) {
	var c AdmissionController
	now := instruction(RolledBack, Grant{})
	now.Token = 4
	c.Apply(testStart, now)
	late := instruction(Running, Grant{Kind: GrantOpen, TTL: time.Minute})
	if c.Apply(testStart, late) || c.Admit(testStart, newVersion, OtherVersions{}).Open {
		t.Error("an instruction with an older token was applied")
	}
	late.Token = 5
	if c.Apply(testStart, late) || c.Admit(testStart, newVersion, OtherVersions{}).Open {
		t.Error("a final phase was undone")
	}
}

// Guards against new calls at a draining baseline whose node has restarted without its state.
func TestRestartedBaselineStaysClosed(t *testing.T) {
	var c AdmissionController
	record := Record{Order: 7, Target: newVersion, Phase: Draining, Replaced: []string{oldVersion}}
	if c.Admit(testStart, oldVersion, mixed(true)).Open {
		t.Error("open before the table was read")
	}
	c.ApplyTable(testStart, Order{Service: "s", Target: newVersion, Revision: 7}, record)
	if c.Admit(testStart, oldVersion, mixed(true)).Open {
		t.Error("open though the baseline drains")
	}
	if !c.Admit(testStart, "v9", mixed(true)).Open {
		t.Error("a version that is not replaced was not admitted")
	}
}

// Guards against a version that was rolled back and takes calls again when another rollout starts.
func TestRejectedVersionStaysOut(t *testing.T) {
	var c AdmissionController
	first := Record{Order: 7, Target: newVersion, Phase: RolledBack}
	c.ApplyTable(testStart, Order{Service: "s", Target: "v3", Revision: 9}, first)
	for version, open := range map[string]bool{oldVersion: true, newVersion: false, "v3": false} {
		if got := c.Admit(testStart, version, mixed(true)).Open; got != open {
			t.Errorf("%s: open %v", version, got)
		}
	}
}

package rollout

import (
	"testing"
	"time"
)

var guardStart = time.Unix(1_700_000_000, 0)

func instruction(p Phase, g Grant) Instruction {
	return Instruction{Service: "s", Order: 7, Target: newVersion, Token: 3, Phase: p, Replaced: []string{oldVersion}, Grant: g}
}

func mixed(ready bool) OtherVersions {
	return OtherVersions{Present: true, Ready: ready, FirstSeen: guardStart}
}

// Guards against a node that has just started and lets a server of a new version in before it
// has heard of the rollout.
func TestUnknownVersionWaitsForTheTable(t *testing.T) {
	var g AdmissionController
	if g.Admit(guardStart, newVersion, mixed(true)).Open {
		t.Error("a server beside those of another version was let in unasked")
	}
	if !g.Admit(guardStart, newVersion, OtherVersions{FirstSeen: guardStart}).Open {
		t.Error("a server whose version is the only one was held")
	}
	if _, ask := g.NextTableRead(newVersion, mixed(true)); !ask {
		t.Error("the table is not asked")
	}
	g.ApplyTable(guardStart, Order{}, Record{})
	if !g.Admit(guardStart, newVersion, mixed(true)).Open {
		t.Error("a server was held though no rollout is ordered")
	}
}

// Guards against a service without any server: all have restarted, and the table is away.
func TestNobodyWaitsForeverWhereNobodyServes(t *testing.T) {
	var g AdmissionController
	if g.Admit(guardStart, oldVersion, mixed(false)).Open {
		t.Error("let in at once")
	}
	if !g.Admit(guardStart.Add(patience), oldVersion, mixed(false)).Open {
		t.Error("still held after the wait")
	}
}

// Guards against a server of the new version that goes on taking calls when its conductor is
// gone.
func TestGrantLapses(t *testing.T) {
	var g AdmissionController
	g.Apply(guardStart, instruction(Running, Grant{Kind: GrantLimited, Calls: 2, TTL: time.Second}))
	if a := g.Admit(guardStart, newVersion, OtherVersions{}); !a.Open || !a.Limited || a.Limit != 2 {
		t.Errorf("under a grant: %+v", a)
	}
	if g.Admit(guardStart.Add(time.Second), newVersion, OtherVersions{}).Open {
		t.Error("open after the grant has lapsed")
	}
	if !g.Admit(guardStart.Add(time.Second), oldVersion, OtherVersions{}).Open {
		t.Error("the baseline was closed")
	}
}

// Guards against a conductor that was paused, lost its lease, and undoes what the next one did.
func TestOlderInstructionChangesNothing(t *testing.T) {
	var g AdmissionController
	now := instruction(RolledBack, Grant{})
	now.Token = 4
	g.Apply(guardStart, now)
	late := instruction(Running, Grant{Kind: GrantOpen, TTL: time.Minute})
	if g.Apply(guardStart, late) || g.Admit(guardStart, newVersion, OtherVersions{}).Open {
		t.Error("an instruction with an older token was followed")
	}
	late.Token = 5
	if g.Apply(guardStart, late) || g.Admit(guardStart, newVersion, OtherVersions{}).Open {
		t.Error("a verdict was undone")
	}
}

// Guards against calls that begin at the baseline again after it was told to drain: its node
// has restarted and knows nothing.
func TestRestartedBaselineStaysClosed(t *testing.T) {
	var g AdmissionController
	record := Record{Order: 7, Target: newVersion, Phase: Draining, Replaced: []string{oldVersion}}
	if g.Admit(guardStart, oldVersion, mixed(true)).Open {
		t.Error("open before the table was read")
	}
	g.ApplyTable(guardStart, Order{Service: "s", Target: newVersion, Revision: 7}, record)
	if g.Admit(guardStart, oldVersion, mixed(true)).Open {
		t.Error("open though the baseline drains")
	}
	if !g.Admit(guardStart, "v9", mixed(true)).Open {
		t.Error("a version that isn't replaced was held")
	}
}

// Guards against a version that was rolled back and takes calls again, as another rollout
// begins.
func TestCondemnedVersionStaysOut(t *testing.T) {
	var g AdmissionController
	first := Record{Order: 7, Target: newVersion, Phase: RolledBack}
	g.ApplyTable(guardStart, Order{Service: "s", Target: "v3", Revision: 9}, first)
	for version, open := range map[string]bool{oldVersion: true, newVersion: false, "v3": false} {
		if got := g.Admit(guardStart, version, mixed(true)).Open; got != open {
			t.Errorf("%s: open %v", version, got)
		}
	}
}

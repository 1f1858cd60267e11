package quarantine

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// A request whose path was long and full of signs that JSON writes in six bytes
// crashed two backend servers. The notice was longer than a membership record
// may hold, so the record of the node held no notice at all, and the other entry
// nodes sent the request on to the next backend server. Long names of VMs did
// the same, and the lift of a request with many crashes.
func TestNoticesFitIntoARecord(t *testing.T) {
	for name, path := range map[string]string{
		"escapes": strings.Repeat("&", 200), "accents": strings.Repeat("é", 100),
		"not text": strings.Repeat("\xff", 200), "control": strings.Repeat("\x01", 200),
	} {
		for _, length := range []int{11, 63} {
			vm := strings.Repeat("n", length)
			l := New(epoch, Options{Self: vm})
			other := New(epoch, Options{Self: "vm-2"})
			tell := func(now time.Time) {
				told := l.Notices(now)
				fits(t, told)
				other.MergeNotices(now, vm, told)
				here, there := l.lookup(now, culprit), other.lookup(now, culprit)
				if there == nil || there.Kind != here.Kind {
					t.Fatalf("%s, names of %d: here %+v, told %+v", name, length, here, there)
				}
			}
			for i := range 3 * maxCrashes {
				now := epoch.Add(time.Duration(i) * time.Second)
				if i%maxCrashes == maxCrashes-1 {
					if err := l.Lift(now, culprit, vm+" ("+vm+")"); err != nil {
						t.Fatal(err)
					}
					tell(now) // a node does so at each lift
				}
				layCrash(t, l, now, vm, path)
				tell(now)
			}
		}
	}
}

var (
	epoch   = time.Date(2026, 6, 1, 6, 0, 0, 0, time.UTC)
	culprit = Fingerprint{1}
)

// layCrash lays one crash to the request, past the quarantine that would refuse it.
func layCrash(t *testing.T, l *List, now time.Time, endpoint, path string) {
	t.Helper()
	r := run{fp: culprit, what: Request{Method: "POST", Host: "desk.example", Path: path}}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.lookup(now, culprit)
	c := Crash{ID: l.opt.Self + "/" + endpoint + "/" + "mh3x2k1" + string(rune('a'+now.Second())) + ".1", Conclusive: old != nil && len(old.Crashes) > 0}
	next := entries{culprit: l.blame(now, old, r, c)}
	l.claim(culprit)
	l.publish(now, next)
}

func fits(t *testing.T, ns []membership.Notice) {
	t.Helper()
	self := membership.VM{ID: "vm-0", DataCentre: "dc-0", ControlAddr: "10.0.0.1:7000"}
	s := membership.New(membership.DefaultConfig(self), epoch, rand.New(rand.NewPCG(1, 1)))
	if err := s.SetNotices(epoch, ns); err != nil {
		t.Fatalf("%v: %v", err, ns)
	}
}

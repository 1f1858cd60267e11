package quarantine

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/marlpass/marlpass/internal/membership"
)

// A long path of characters that JSON encodes in six bytes made the notice longer than a membership
// record allows. The record then held no notice, and other entry nodes sent the request on to the
// next backend server. Long VM names and the lift of a request with many crashes had the same
// effect.
func TestNoticesFitIntoARecord(t *testing.T) {
	for name, path := range map[string]string{
		"escapes": strings.Repeat("&", 200), "accents": strings.Repeat("é", 100),
		"not text": strings.Repeat("\xff", 200), "control": strings.Repeat("\x01", 200),
	} {
		for _, length := range []int{11, 63} {
			vm := strings.Repeat("n", length)
			l := New(epoch, Options{Self: vm})
			other := New(epoch, Options{Self: "vm-2"})
			deliver := func(now time.Time) {
				notices := l.Notices(now)
				checkFits(t, notices)
				other.MergeNotices(now, vm, notices)
				here, there := l.lookup(now, badRequest), other.lookup(now, badRequest)
				if there == nil || there.Kind != here.Kind {
					t.Fatalf("%s, names of %d: local %+v, remote %+v", name, length, here, there)
				}
			}
			for i := range 3 * maxCrashes {
				now := epoch.Add(time.Duration(i) * time.Second)
				if i%maxCrashes == maxCrashes-1 {
					if err := l.Lift(now, badRequest, vm+" ("+vm+")"); err != nil {
						t.Fatal(err)
					}
					deliver(now) // a node announces every lift
				}
				recordCrashFor(t, l, now, vm, path)
				deliver(now)
			}
		}
	}
}

var (
	epoch      = time.Date(2026, 6, 1, 6, 0, 0, 0, time.UTC)
	badRequest = Fingerprint{1}
)

// recordCrashFor adds a crash to the request, bypassing the quarantine that would refuse it.
func recordCrashFor(t *testing.T, l *List, now time.Time, endpoint, path string) {
	t.Helper()
	r := run{fp: badRequest, request: Request{Method: "POST", Host: "desk.example", Path: path}}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.lookup(now, badRequest)
	c := Crash{ID: l.opt.Self + "/" + endpoint + "/" + "mh3x2k1" + string(rune('a'+now.Second())) + ".1", Conclusive: old != nil && len(old.Crashes) > 0}
	next := entries{badRequest: l.addCrash(now, old, r, c)}
	l.announce(badRequest)
	l.publish(now, next)
}

func checkFits(t *testing.T, ns []membership.Notice) {
	t.Helper()
	self := membership.VM{ID: "vm-0", DataCentre: "dc-0", ControlAddr: "10.0.0.1:7000"}
	s := membership.New(membership.DefaultConfig(self), epoch, rand.New(rand.NewPCG(1, 1)))
	if err := s.SetNotices(epoch, ns); err != nil {
		t.Fatalf("%v: %v", err, ns)
	}
}

package bootclock

import (
	"testing"
	"time"
)

// machine is a VM whose clocks a test moves.
type machine struct{ anchor }

func (m *machine) run(d time.Duration) {
	m.suspend(d)
	m.monotonic += d
}

func (m *machine) suspend(d time.Duration) {
	m.wall += d
	m.boot += d
}

func (m *machine) ask() anchor { return m.anchor }

// Guards against an age that leaves out the time for which the VM was suspended, and against one
// that follows a set time of day.
func TestAgesFollowTheBootClock(t *testing.T) {
	m := &machine{anchor{reading{wall: time.Hour, monotonic: time.Minute}, 5 * time.Minute}}
	var c Clock
	start := c.at(m.reading, m.ask)
	for _, step := range []struct {
		name string
		move func()
		want time.Duration
	}{
		{"run", func() { m.run(3 * time.Second) }, 3 * time.Second},
		{"suspended", func() { m.suspend(4 * time.Second) }, 7 * time.Second},
		{"set back", func() { m.wall -= 10 * time.Second }, 7 * time.Second},
		{"set ahead and run", func() { m.wall += time.Hour; m.run(time.Second) }, 8 * time.Second},
		{"set back as long as it was suspended for", func() { m.suspend(time.Second); m.wall -= 2 * time.Second }, 9 * time.Second},
	} {
		step.move()
		if got := c.at(m.reading, m.ask) - start; got != step.want {
			t.Errorf("%s: %v since the start, want %v", step.name, got, step.want)
		}
	}
}

func TestSystemClock(t *testing.T) {
	var c Clock
	before := c.At(time.Now())
	if after := c.At(time.Now()); before <= 0 || after < before {
		t.Errorf("%v, then %v", before, after)
	}
}

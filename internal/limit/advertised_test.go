package limit

import (
	"testing"
	"time"
)

func rateOf(perSecond float64) AdvertisedRate {
	return AdvertisedRate{PerSecond: perSecond, Present: true}
}

func TestParseAdvertisedRate(t *testing.T) {
	for given, want := range map[string]AdvertisedRate{
		"": {}, "4.4": rateOf(4.4), " 12 ": rateOf(12), "0": rateOf(0), "1e9": rateOf(1e9),
		"-1": {Malformed: true}, "inf": {Malformed: true}, "NaN": {Malformed: true}, "1e999": {Malformed: true},
		"four": {Malformed: true}, "4,4": {Malformed: true},
	} {
		if got := ParseAdvertisedRate(given); got != want {
			t.Errorf("%q: %+v, want %+v", given, got, want)
		}
	}
}

// Guards against an answer that overtook others and lifts or raises a limit that is in force.
func TestOvertakingAnswerDoesNotLoosenALimit(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var l advertisedLimit
	for _, c := range []struct {
		name      string
		now, sent int // ms
		r, want   AdvertisedRate
	}{
		{"first", 100, 0, rateOf(4), rateOf(4)},
		{"without, sent before", 110, 50, AdvertisedRate{}, rateOf(4)},
		{"higher, sent before", 120, 50, rateOf(9), rateOf(4)},
		{"lower, sent before", 130, 50, rateOf(2), rateOf(2)},
		{"malformed, sent after", 140, 135, AdvertisedRate{Malformed: true}, rateOf(2)},
		{"higher, sent after", 150, 145, rateOf(6), rateOf(6)},
		{"without, sent when it was confirmed", 160, 150, AdvertisedRate{}, rateOf(6)},
		{"without, sent after", 170, 151, AdvertisedRate{}, AdvertisedRate{}},
		{"none accepted", 180, 175, rateOf(0), rateOf(0)},
	} {
		l.observe(at(c.now), at(c.sent), c.r)
		if l.rate != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, l.rate, c.want)
		}
	}
}

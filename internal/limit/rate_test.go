package limit

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestRateBoundsAndTellsWhenToComeBack(t *testing.T) {
	r := NewRateLimiter(simStart, 10)
	if ok, _ := r.Allow(simStart); !ok {
		t.Fatal("the first call was refused")
	}
	ok, after := r.Allow(simStart)
	if ok || after != 100*time.Millisecond {
		t.Errorf("Allow = %v, %v; want a refusal for 100 ms", ok, after)
	}
	if ok, _ := r.Allow(at(100 * time.Millisecond)); !ok {
		t.Error("refused when it was told to come back")
	}
	r.SetRate(at(0), 0)
	for range 1000 {
		if ok, _ := r.Allow(at(0)); !ok {
			t.Fatal("refused without a bound")
		}
	}
}

// A class that was refused often by full queues gave back more than it had taken,
// and then ran far over its rate at once. What is given back stays in the burst.
func TestGivenBackStaysWithinTheBurst(t *testing.T) {
	r := NewRateLimiter(simStart, 10)
	for range 50 {
		r.GiveBack(simStart)
	}
	if ok, _ := r.Allow(simStart); !ok {
		t.Fatal("the first call was refused")
	}
	if ok, after := r.Allow(simStart); ok || after != 100*time.Millisecond {
		t.Errorf("Allow = %v, %v; want a refusal for 100 ms", ok, after)
	}
	r.GiveBack(simStart)
	if ok, _ := r.Allow(simStart); !ok {
		t.Error("what was given back is lost")
	}
}

const (
	rateBackends = 9
	rateGroup    = 3 // backend servers a data centre
	rateTarget   = 900.0
)

// rateTrial sends calls for ten seconds, 80 in 100 of them from one of three
// data centres, to a backend server of their own data centre and, when refused,
// to others at random up to the given number of tries. It returns the calls
// admitted and offered in a second.
func rateTrial(demand float64, tries int) (admitted, offered float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	var backends []*RateLimiter
	for range rateBackends {
		backends = append(backends, NewRateLimiter(simStart, RatePerBackend(rateTarget, rateBackends)))
	}
	const seconds = 10
	now := simStart
	for now.Before(at(seconds * time.Second)) {
		now = now.Add(time.Duration(rng.ExpFloat64() / demand * float64(time.Second)))
		centre := 0
		if rng.Float64() > 0.8 {
			centre = 1 + rng.IntN(2)
		}
		offered++
		b := centre*rateGroup + rng.IntN(rateGroup)
		for range tries {
			if ok, _ := backends[b].Allow(now); ok {
				admitted++
				break
			}
			b = (b + 1 + rng.IntN(rateBackends-1)) % rateBackends
		}
	}
	return admitted / seconds, offered / seconds
}

// Nearly all callers of a class with a rate are in one data centre. What is
// admitted must stay within the bound, and with two further tries a demand below
// the bound must hardly be refused.
func TestRateUnderSkewedDemand(t *testing.T) {
	burst := rateTarget * burstSeconds / 10 // spread over the ten seconds
	for _, demand := range []float64{450, 800, 900, 1800} {
		for _, tries := range []int{1, 2, 3, 4} {
			admitted, offered := rateTrial(demand, tries)
			t.Logf("demand %4.0f/s, tries %d: admitted %5.1f/s of %5.1f/s, bound %.0f/s", demand, tries, admitted, offered, rateTarget)
			if admitted > rateTarget+burst {
				t.Errorf("admitted %.1f/s over a bound of %.0f/s", admitted, rateTarget)
			}
			if tries >= 3 && demand <= 800 && admitted < 0.95*offered {
				t.Errorf("admitted %.1f/s of %.1f/s, below the bound", admitted, offered)
			}
		}
	}
}

package limit

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestRateLimiterRefusesWithRetryAfter(t *testing.T) {
	r := NewRateLimiter(simStart, 10)
	if ok, _ := r.Allow(simStart); !ok {
		t.Fatal("the first call was refused")
	}
	ok, after := r.Allow(simStart)
	if ok || after != 100*time.Millisecond {
		t.Errorf("Allow = %v, %v; want a refusal for 100 ms", ok, after)
	}
	if ok, _ := r.Allow(at(100 * time.Millisecond)); !ok {
		t.Error("refused after the returned delay")
	}
	r.SetRate(at(0), 0)
	for range 1000 {
		if ok, _ := r.Allow(at(0)); !ok {
			t.Fatal("refused without a limit")
		}
	}
}

// Guards against a class that runs far over its rate after many refusals by full queues:
// returned tokens stay within the burst.
func TestGiveBackStaysWithinBurst(t *testing.T) {
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
		t.Error("the returned token is lost")
	}
}

const (
	rateBackends = 9
	rateGroup    = 3 // backend servers per data centre
	rateTarget   = 900.0
)

// simulateRate sends calls for ten seconds, 80% of them from one of three data
// centres, to a backend server of their own data centre and, when refused, to
// random others, up to the given number of attempts. It returns the calls admitted
// and offered per second.
func simulateRate(demand float64, attempts int) (admitted, offered float64) {
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
		for range attempts {
			if ok, _ := backends[b].Allow(now); ok {
				admitted++
				break
			}
			b = (b + 1 + rng.IntN(rateBackends-1)) % rateBackends
		}
	}
	return admitted / seconds, offered / seconds
}

// Guards rate limits under skewed demand, with most callers in one data centre: the
// admitted rate stays within the limit, and with two retries a demand below the limit
// is hardly refused.
func TestRateUnderSkewedDemand(t *testing.T) {
	burst := rateTarget * burstSeconds / 10 // spread over the ten seconds
	for _, demand := range []float64{450, 800, 900, 1800} {
		for _, attempts := range []int{1, 2, 3, 4} {
			admitted, offered := simulateRate(demand, attempts)
			t.Logf("demand %4.0f/s, attempts %d: admitted %5.1f/s of %5.1f/s, limit %.0f/s", demand, attempts, admitted, offered, rateTarget)
			if admitted > rateTarget+burst {
				t.Errorf("admitted %.1f/s over a limit of %.0f/s", admitted, rateTarget)
			}
			if attempts >= 3 && demand <= 800 && admitted < 0.95*offered {
				t.Errorf("admitted %.1f/s of %.1f/s, though demand is below the limit", admitted, offered)
			}
		}
	}
}

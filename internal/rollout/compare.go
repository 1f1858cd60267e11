package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Evidence is what servers of both versions did with their calls over the same time.
type Evidence struct {
	// Canaries and Baseline hold the counts of each server by class.
	Canaries, Baseline []map[string]Counts
	// Failures are the canaries' by class, against what the baseline's lead to expect.
	Failures map[string]Failures
}

// Failures are the failed calls of the canaries of some class, summed over rounds.
type Failures struct {
	Calls, Failed uint32
	// Expected is how many would have failed at the baseline in the same rounds, and
	// Variance that of the difference.
	Expected, Variance float64
}

// Add adds the counts of one round. Rounds are compared one by one: the canaries' part of the
// calls differs from round to round, and so does the share that fails anywhere.
func (f *Failures) Add(canary, baseline Counts) {
	n, m := float64(canary.Calls), float64(baseline.Calls)
	if n == 0 || m == 0 {
		return
	}
	share := (float64(baseline.Failed) + 0.5) / (m + 1)
	f.Calls += canary.Calls
	f.Failed += canary.Failed
	f.Expected += n * share
	f.Variance += n * share * (1 - share) * (1 + n/m)
}

func (f *Failures) merge(other Failures) {
	f.Calls += other.Calls
	f.Failed += other.Failed
	f.Expected += other.Expected
	f.Variance += other.Variance
}

// Bounds of a comparison.
const (
	// condemnSigmas is by how many standard deviations failures have to lie above what is
	// expected. Some dozen classes are compared twice a second for minutes.
	condemnSigmas = 4.5
	// failExcess is by how much their share has to lie above the baseline's.
	failExcess = 0.03
	// failFewest is the fewest failures that condemn a version, and mildFewest where its
	// share of failures lies less than failPlain above the baseline's: the nodes beside new
	// servers have just started, and fail a few more calls when the mesh is in trouble.
	failFewest = 5
	mildFewest = 16
	failPlain  = 0.15
	// slowFewest is the fewest answers by which slowness is judged, and mixedFewest by which
	// their variance is.
	slowFewest  = 40
	mixedFewest = 100
	// slowShift is the least difference of the mean logarithms of answer times that
	// condemns a version, where the servers of either are many: a factor of two.
	slowShift = 0.7
	// speedSpread is the least standard deviation of the logarithm of a server's speed that
	// is allowed for: servers of one version differ by a factor of two or three.
	speedSpread = 0.4
	// slowSigmas is by how many standard deviations answers have to be slower.
	slowSigmas = 4.5
	// mixedRatio is by what factor the variance of the answer times of one server has to
	// exceed the baseline's, and mixedSigmas by how many standard deviations.
	mixedRatio  = 1.4
	mixedSigmas = 5
	// bucketWidth is the width of a bucket of answer times, as a logarithm.
	bucketWidth = math.Ln2 / 2
)

// Compare returns why the canaries' version is worse than the baseline's, or "".
//
// Both are compared over the same time and class by class, so that trouble of the
// whole service, or of a service that it calls, tells nothing of a version. Where
// there are several canaries, two of them have to show the fault: one alone may be a
// faulty server.
func Compare(e Evidence) string {
	for _, class := range slices.Sorted(maps.Keys(sum(e.Canaries))) {
		if why := failing(e.Failures[class]); why != "" && shown(e.Canaries, class, hasFailed) {
			return fmt.Sprintf("class %s: %s", class, why)
		}
		if why := slow(e, class); why != "" {
			return fmt.Sprintf("class %s: %s", class, why)
		}
	}
	return ""
}

func sum(servers []map[string]Counts) map[string]Counts {
	out := make(map[string]Counts)
	for _, s := range servers {
		addAll(out, s)
	}
	return out
}

func hasFailed(c Counts) bool { return c.Failed > 0 }

// shown reports whether two servers show a fault, or the one that there is.
func shown(servers []map[string]Counts, class string, faulty func(Counts) bool) bool {
	n := 0
	for _, s := range servers {
		if faulty(s[class]) {
			n++
		}
	}
	return n >= min(2, len(servers))
}

func failing(f Failures) string {
	excess := (float64(f.Failed) - f.Expected) / float64(max(f.Calls, 1))
	fewest := uint32(failFewest)
	if excess < failPlain {
		fewest = mildFewest
	}
	if f.Failed < fewest || excess < failExcess {
		return ""
	}
	if float64(f.Failed)-f.Expected < condemnSigmas*math.Sqrt(f.Variance+1) {
		return ""
	}
	return fmt.Sprintf("%d of %d calls failed, %.1f were to be expected by the baseline", f.Failed, f.Calls, f.Expected)
}

// slow holds the answer times of one class against each other, as logarithms.
//
// Servers of one version differ in speed, and chance may give the canaries more slow ones.
// So a version of which all answers are slower is told by a larger difference of the means
// than that can make. One of which some answers are slower is told by the variance of the
// times at each server by itself, on which its speed has no bearing.
func slow(e Evidence, class string) string {
	canaries, baseline := timesOf(e.Canaries, class), timesOf(e.Baseline, class)
	n, m := canaries.answers, baseline.answers
	if n < slowFewest || m < slowFewest {
		return ""
	}
	byChance := baseline.within * (1/n + 1/m)
	bySpeed := max(speedSpread*speedSpread, baseline.between) * (1/canaries.servers + 1/baseline.servers)
	shift := canaries.mean - baseline.mean
	if shift > max(slowShift, slowSigmas*math.Sqrt(byChance+bySpeed)) {
		return fmt.Sprintf("%.0f answers took %.1f times as long as %.0f of the baseline", n, math.Exp(shift), m)
	}
	ratio := canaries.within / max(baseline.within, bucketWidth*bucketWidth)
	if n >= mixedFewest && ratio > mixedRatio && (ratio-1)/math.Sqrt(2/n+2/m) > mixedSigmas {
		return fmt.Sprintf("the times of %.0f answers vary %.1f times as much as those of %.0f of the baseline", n, ratio, m)
	}
	return ""
}

// times describes the logarithms of the answer times of some servers.
type times struct {
	servers, answers float64
	mean             float64
	within, between  float64 // variance at one server, and of their means
}

func timesOf(servers []map[string]Counts, class string) times {
	var out times
	var means []float64
	var squares float64
	for _, s := range servers {
		c := s[class]
		if c.answered() == 0 {
			continue
		}
		mean := c.mean() * bucketWidth
		means = append(means, mean)
		out.answers += float64(c.answered())
		for i, v := range c.Took {
			off := float64(i)*bucketWidth - mean
			squares += float64(v) * off * off
		}
	}
	out.servers = float64(max(len(means), 1))
	out.within = squares / max(out.answers-out.servers, 1)
	for _, mean := range means {
		out.mean += mean / out.servers
	}
	for _, mean := range means {
		out.between += (mean - out.mean) * (mean - out.mean) / max(out.servers-1, 1)
	}
	return out
}

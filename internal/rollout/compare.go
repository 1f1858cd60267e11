package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Evidence holds the call results of servers of both versions over the same period.
type Evidence struct {
	// Canaries and Baseline hold the counts of each server by class.
	Canaries, Baseline []map[string]Counts
	// Failures holds the failures of the canaries by class, compared with the baseline's.
	Failures map[string]Failures
}

// Failures holds the failed calls of the canaries in one class, summed over rounds.
type Failures struct {
	Calls, Failed uint32
	// Expected is the number of failures at the failure rate of the baseline in the same rounds,
	// and Variance the variance of the difference.
	Expected, Variance float64
}

// Add adds the counts of one round. Rounds are compared one by one, because the canaries' share of
// the calls and the failure rate of the whole service differ from round to round.
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

// Thresholds of a comparison.
const (
	// failureSigmas is the number of standard deviations by which failures must exceed the expected
	// number. It is high because some dozen classes are compared twice a second for minutes.
	failureSigmas = 4.5
	// minFailureExcess is the minimum excess of the failure rate over the baseline's.
	minFailureExcess = 0.03
	// minFailures is the minimum number of failures that reject a version. It is
	// minFailuresSmallExcess if the failure rate exceeds the baseline's by less than
	// largeFailureExcess: nodes of new servers have just started, and fail a few more calls during
	// faults of the mesh.
	//
	// minFailuresDoubt takes its place for a version that is not rejected, but gets no more calls.
	minFailures            = 5
	minFailuresSmallExcess = 16
	minFailuresDoubt       = 8
	largeFailureExcess     = 0.15
	// minTimedAnswers is the minimum number of answers for comparing response times, and
	// minVarianceAnswers for comparing their variance.
	minTimedAnswers    = 40
	minVarianceAnswers = 100
	// minSlowShift is the minimum difference of the mean logarithms of response times that rejects
	// a version with many servers on both sides: a factor of two.
	minSlowShift = 0.7
	// minSpeedStdDev is the minimum standard deviation assumed for the logarithm of a server's
	// speed: servers of one version differ by a factor of two or three.
	minSpeedStdDev = 0.4
	// slowSigmas is the number of standard deviations by which answers must be slower.
	slowSigmas = 4.5
	// minVarianceRatio is the factor by which the variance of response times at one server must
	// exceed the baseline's, and varianceSigmas the number of standard deviations.
	minVarianceRatio = 1.4
	varianceSigmas   = 5
	// bucketWidth is the width of a bucket of response times, as a natural logarithm.
	bucketWidth = math.Ln2 / 2
)

// Compare returns the reason why the canaries' version is worse than the baseline's, or "".
//
// The versions are compared over the same period and class by class, so that a fault of the whole
// service, or of a service that it calls, does not count against a version. If there are several
// canaries, at least two must show the fault, because a single one may be a faulty server.
func Compare(e Evidence) string {
	for _, class := range slices.Sorted(maps.Keys(sum(e.Canaries))) {
		if reason := failureReason(e.Failures[class], minFailuresSmallExcess); reason != "" && enoughServersShow(e.Canaries, class, hasFailed) {
			return fmt.Sprintf("class %s: %s", class, reason)
		}
		if reason := slownessReason(e, class); reason != "" {
			return fmt.Sprintf("class %s: %s", class, reason)
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

// enoughServersShow reports whether two servers show a fault, or the only one.
func enoughServersShow(servers []map[string]Counts, class string, faulty func(Counts) bool) bool {
	n := 0
	for _, s := range servers {
		if faulty(s[class]) {
			n++
		}
	}
	return n >= min(2, len(servers))
}

// failureReason returns the reason why f speaks against the canaries' version, or "". minSmallExcess
// is the minimum number of failures where they exceed the expected number by little.
func failureReason(f Failures, minSmallExcess uint32) string {
	excess := (float64(f.Failed) - f.Expected) / float64(max(f.Calls, 1))
	minFailed := uint32(minFailures)
	if excess < largeFailureExcess {
		minFailed = minSmallExcess
	}
	if f.Failed < minFailed || excess < minFailureExcess {
		return ""
	}
	if float64(f.Failed)-f.Expected < failureSigmas*math.Sqrt(f.Variance+1) {
		return ""
	}
	return fmt.Sprintf("%d of %d calls failed, %.1f were to be expected by the baseline", f.Failed, f.Calls, f.Expected)
}

// slownessReason compares the logarithms of the response times of one class.
//
// Servers of one version differ in speed, and the canaries may include more slow ones by chance. A
// version of which all answers are slower is therefore detected by a difference of the means that
// chance does not explain. A version of which only some answers are slower is detected by the
// variance of the times at each server, which does not depend on the server's speed.
func slownessReason(e Evidence, class string) string {
	canaries, baseline := timeStatsOf(e.Canaries, class), timeStatsOf(e.Baseline, class)
	n, m := canaries.answers, baseline.answers
	if n < minTimedAnswers || m < minTimedAnswers {
		return ""
	}
	samplingVariance := baseline.within * (1/n + 1/m)
	speedVariance := max(minSpeedStdDev*minSpeedStdDev, baseline.between) * (1/canaries.servers + 1/baseline.servers)
	shift := canaries.mean - baseline.mean
	if shift > max(minSlowShift, slowSigmas*math.Sqrt(samplingVariance+speedVariance)) {
		return fmt.Sprintf("%.0f answers took %.1f times as long as %.0f of the baseline", n, math.Exp(shift), m)
	}
	ratio := canaries.within / max(baseline.within, bucketWidth*bucketWidth)
	if n >= minVarianceAnswers && ratio > minVarianceRatio && (ratio-1)/math.Sqrt(2/n+2/m) > varianceSigmas {
		return fmt.Sprintf("the times of %.0f answers vary %.1f times as much as those of %.0f of the baseline", n, ratio, m)
	}
	return ""
}

// timeStats describes the logarithms of the response times of some servers.
type timeStats struct {
	servers, answers float64
	mean             float64
	within, between  float64 // variance within one server, and between the means of servers
}

func timeStatsOf(servers []map[string]Counts, class string) timeStats {
	var out timeStats
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
			deviation := float64(i)*bucketWidth - mean
			squares += float64(v) * deviation * deviation
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

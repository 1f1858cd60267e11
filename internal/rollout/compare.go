package rollout

import (
	"fmt"
	"math"
	"slices"
)

// Evidence is what servers of both versions did with their calls over the same time.
type Evidence struct {
	// Canaries and Baseline hold the counts of each server by class.
	Canaries, Baseline []map[string]Counts
}

// Bounds of a comparison.
const (
	// condemnSigmas is by how many standard deviations a share has to lie above the
	// baseline's. Some dozen classes are compared twice a second for minutes.
	condemnSigmas = 4.5
	// failExcess is by how much a share of failures has to lie above the baseline's.
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
	canary, baseline := sum(e.Canaries), sum(e.Baseline)
	classes := make([]string, 0, len(canary))
	for class := range canary {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	for _, class := range classes {
		if why := failing(canary[class], baseline[class]); why != "" && shown(e.Canaries, class, hasFailed) {
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

func failing(canary, baseline Counts) string {
	if canary.Failed < failFewest {
		return ""
	}
	c, b := share(canary.Failed, canary.Calls), share(baseline.Failed, baseline.Calls)
	if c < b+failPlain && canary.Failed < mildFewest {
		return ""
	}
	if c < b+failExcess || sigmas(canary.Failed, canary.Calls, baseline.Failed, baseline.Calls) < condemnSigmas {
		return ""
	}
	return fmt.Sprintf("%d of %d calls failed, %d of %d of the baseline", canary.Failed, canary.Calls, baseline.Failed, baseline.Calls)
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

func share(part, whole uint32) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// sigmas returns by how many standard deviations the share a of n lies above b of m.
// One more of each kind is counted at both, so that a few calls prove little.
func sigmas(a, n, b, m uint32) float64 {
	nf, mf := float64(n)+2, float64(m)+2
	p, q := (float64(a)+1)/nf, (float64(b)+1)/mf
	pooled := (float64(a) + float64(b) + 2) / (nf + mf)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/nf + 1/mf))
	return (p - q) / deviation
}

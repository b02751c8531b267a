package rollout

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"celerybank/internal/significance"
)

// Windows of evidence that a coordinator requests. Both versions are compared over the same time.
const (
	windowRecent  = iota // the last recentSpan at the current share
	windowStep           // since the last step
	windowRollout        // since the rollout was accepted
	windowHistory        // the longest window that owners keep
	windows
)

const (
	recentSpan  = 8 * time.Second
	historySpan = time.Hour
)

// Significance levels of the tests.
const (
	// recentAlpha applies to each test of the recent window, which is tested every second.
	recentAlpha = 1e-6
	// growingAlpha applies to all tests of one growing window together.
	growingAlpha = 0.002
	// holdAlpha is the level at which a rollout is held at its share, but not rolled back.
	holdAlpha = 0.05
)

// Minimum differences between the versions; a smaller one may be significant but is tolerated.
const (
	minFailedExcess = 0.01
	minSlowExcess   = 0.2
	// minReference is the number of requests of the old version in a window below which its
	// history is the reference.
	minReference = 20
	// minBadAgainstHistory is the number of bad requests needed to reject a version by a
	// comparison with history.
	minBadAgainstHistory = 3
)

// tally is the counts of one version by route, summed over its owners.
type tally map[string]*[windows]Counts

func (t tally) add(e RouteEvidence) {
	if len(e.Counts) != windows {
		return
	}
	c := t[e.Route]
	if c == nil {
		c = &[windows]Counts{}
		t[e.Route] = c
	}
	for w := range windows {
		c[w].Add(e.Counts[w])
	}
}

func (t tally) route(name string) [windows]Counts {
	if c := t[name]; c != nil {
		return *c
	}
	return [windows]Counts{}
}

// total returns the counts of one window, summed over all routes.
func (t tally) total(w int) Counts {
	var sum Counts
	for _, c := range t {
		sum.Add(c[w])
	}
	return sum
}

// routes returns the sorted names of the routes that either version served.
func routes(a, b tally) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// finding is the result of the comparison of the new version with the old one.
type finding struct {
	// A bad version is rolled back; a doubtful one is held at its share.
	bad, doubtful bool
	text          string
}

// assess compares the new version with the old one, route by route, by failures and by latency. It
// returns the first bad finding, else the first doubtful one.
func assess(oldT, newT tally) finding {
	var doubt finding
	for _, name := range routes(oldT, newT) {
		o, n := oldT.route(name), newT.route(name)
		baseline, _ := reference(failedOf, o, windowRollout)
		edge := slowBucket(baseline)
		slow := "slower than " + latencyBucketEnd(edge).Round(100*time.Microsecond).String()
		for _, f := range []finding{
			compare(name, "failed", failedOf, minFailedExcess, o, n),
			compare(name, slow, slowerThan(edge), minSlowExcess, o, n),
		} {
			if f.bad {
				return f
			}
			if f.doubtful && !doubt.doubtful {
				doubt = f
			}
		}
	}
	return doubt
}

// measure counts the requests that are bad by one criterion, and all requests that the criterion
// applies to.
type measure func(Counts) (bad, all uint64)

func failedOf(c Counts) (uint64, uint64) { return c.Failed, c.Total }

// reference returns the old version's counts of a window. If the window has fewer than
// minReference requests and none were bad since the rollout began, it returns the history instead.
// With bad requests the history is no reference: a current fault of the old version is not in it,
// and a window that has just begun may not show the fault yet. Neither is it while the old version serves enough
// requests to show a fault of both versions in a moment.
func reference(m measure, o [windows]Counts, w int) (c Counts, isHistory bool) {
	serves := o[windowStep].Total > 0 && o[windowRollout].Total >= minReference
	if o[w].Total < minReference && !serves && !anyBad(m, o[w]) && !anyBad(m, o[windowRollout]) {
		return o[windowHistory], true
	}
	return o[w], false
}

// slowBucket returns the latency bucket above which a request counts as slow: the higher of twice
// the median (two buckets) and the 95th percentile of the old version.
func slowBucket(c Counts) int {
	all := uint64(0)
	for _, n := range c.Latency {
		all += uint64(n)
	}
	below, median := uint64(0), -1
	for i, n := range c.Latency {
		below += uint64(n)
		if median < 0 && below*2 >= all {
			median = i
		}
		if below*20 >= all*19 {
			return max(median+2, i)
		}
	}
	return latencyBuckets
}

func slowerThan(edge int) measure {
	return func(c Counts) (slow, all uint64) {
		for i, n := range c.Latency {
			all += uint64(n)
			if i > edge {
				slow += uint64(n)
			}
		}
		return slow, all
	}
}

// compare tests one measure of one route over windows in which the share did not change.
// Over a change, a fault of both versions affects a larger ratio of the requests of the version
// that got most of its traffic while the fault lasted (Simpson's paradox, 1951). Only a route with
// few requests is tested over the whole rollout, and not while the old version has bad requests too.
func compare(route, what string, m measure, minExcess float64, o, n [windows]Counts) finding {
	var out finding
	for _, w := range []int{windowRecent, windowStep, windowRollout} {
		bad, all := m(n[w])
		ref, isHistory := reference(m, o, w)
		oldBad, oldAll := m(ref)
		if w == windowRollout && (all >= enoughSamples || anyBad(m, o[windowStep])) {
			continue
		}
		newRatio, oldRatio := fraction(bad, all), fraction(oldBad, oldAll)
		if bad == 0 || newRatio < oldRatio+minExcess || sharedFault(m, o, n, w) {
			continue
		}
		p := significance.Fisher(bad, all, oldBad, oldAll)
		f := finding{bad: p <= alpha(w, all) && (!isHistory || bad >= minBadAgainstHistory), doubtful: p <= holdAlpha,
			text: fmt.Sprintf("route %s: %d of %d requests %s, old version %d of %d, p=%.1g", route, bad, all, what, oldBad, oldAll, p)}
		if f.bad {
			return f
		}
		if f.doubtful {
			out = f
		}
	}
	return out
}

// alpha returns the significance level of a test with n requests of the new version.
func alpha(w int, n uint64) float64 {
	if w == windowRecent {
		return recentAlpha
	}
	return significance.Level(growingAlpha, n)
}

func fraction(k, n uint64) float64 { return float64(k) / float64(max(n, 1)) }

func anyBad(m measure, c Counts) bool {
	bad, _ := m(c)
	return bad > 0
}

// sharedFault reports whether the old version has at least half the new version's ratio of bad
// requests at the same time, as when a dependency of both fails. It is checked in addition to the
// reference, which may be older than the fault.
func sharedFault(m measure, o, n [windows]Counts, w int) bool {
	for _, same := range []int{windowRecent, w} {
		bad, all := m(n[same])
		oldBad, oldAll := m(o[same])
		if oldBad > 0 && oldAll > 0 && 2*fraction(oldBad, oldAll) >= fraction(bad, all) {
			return true
		}
	}
	return false
}

package canary

import (
	"fmt"
	"time"

	"celerybank/internal/significance"
)

// tally is the evidence of one version by route, summed over its upstreams.
type tally map[string]*RouteEvidence

func (t tally) add(e RouteEvidence) {
	if t[e.Route] == nil {
		t[e.Route] = &RouteEvidence{Route: e.Route}
	}
	t[e.Route].Recent.add(e.Recent)
	t[e.Route].All.add(e.All)
}

func (t tally) route(name string) RouteEvidence {
	if e := t[name]; e != nil {
		return *e
	}
	return RouteEvidence{}
}

// requests returns the number of requests the version has handled since the rollout began.
func (t tally) requests() (n uint64) {
	for _, e := range t {
		n += e.All.Total
	}
	return n
}

// recentFailureRatio returns the ratio of failed requests in the recent window.
func (t tally) recentFailureRatio() float64 {
	var c Counts
	for _, e := range t {
		c.add(e.Recent)
	}
	return c.failureRatio()
}

// Thresholds for rejecting a version.
const (
	// A route is rejected with at least minFailures failures and a failure ratio that exceeds
	// twice the old version's ratio in the same window by more than minFailureExcess: a strong fault is
	// evident from few requests.
	minFailures      = 4
	minFailureExcess = 0.12
	// On a route with little traffic fewer failures are enough if their ratio is higher.
	lowTrafficMinFailures      = 3
	lowTrafficMinFailureExcess = 0.25
	// A weaker fault needs more requests. It is evident if the excess is above minWeakExcess and a version that
	// is as good as the old one would be rejected with the probability falseAlarms at most in a whole rollout.
	minWeakExcess = 0.01
	falseAlarms   = 0.002
	// minSamples is the number of responses needed from each version to compare their latencies;
	// the failure rule for little traffic needs as many from the new version.
	minSamples = 6
	// A route is too slow if its mean latency exceeds slowFactor times the old version's mean
	// by more than slowMarginMillis.
	slowFactor       = 2.5
	slowMarginMillis = 40
)

// assess compares the new version with the old one route by route. It returns the reason to
// reject the new version, or an empty string.
func assess(old, next tally) string {
	for name, e := range next {
		o := old.route(name)
		for _, w := range []struct{ old, next Counts }{{o.Recent, e.Recent}, {o.All, e.All}} {
			if reason := compare(w.old, w.next); reason != "" {
				return "route " + name + ": " + reason
			}
		}
		if weakFault(o.All, e.All) {
			return "route " + name + ": " + failures(o.All, e.All)
		}
	}
	return ""
}

func compare(old, next Counts) string {
	ratio, baseline := next.failureRatio(), 2*old.failureRatio()
	if (next.Failed >= minFailures && ratio > minFailureExcess+baseline) || (next.Failed >= lowTrafficMinFailures && next.Total >= minSamples && ratio > lowTrafficMinFailureExcess+baseline) {
		return failures(old, next)
	}
	if next.Total >= minSamples && old.Total >= minSamples && next.mean() > slowFactor*old.mean()+slowMarginMillis {
		return fmt.Sprintf("%d responses took %.0f ms on average; old version: %.0f ms", next.Total, next.mean(), old.mean())
	}
	return ""
}

// weakFault reports whether the new version fails significantly more often than the old one.
func weakFault(old, next Counts) bool {
	if next.Failed == 0 || next.failureRatio() <= minWeakExcess+2*old.failureRatio() {
		return false
	}
	return significance.Fisher(next.Failed, next.Total, old.Failed, old.Total) <= significance.Level(falseAlarms, next.Total)
}

func failures(old, next Counts) string {
	return fmt.Sprintf("%d of %d requests failed; old version: %d of %d", next.Failed, next.Total, old.Failed, old.Total)
}

// step is one traffic share in the progression of a rollout.
type step struct {
	// share of the requests that goes to the new version; 0 for the first step, whose share
	// follows from the Bound (see firstShare).
	share float64
	// until is the fraction of the rollout's duration before which the step does not end.
	until float64
	// requests that the new version must have handled before the next step.
	requests uint64
}

// Bound is the operator's limit on the traffic of a faulty version: it may get at most the ratio
// Share of all requests that reach the service during the rollout, plus Slack requests.
type Bound struct{ Share, Slack float64 }

// steps is the progression of a rollout. The first share spends half of the Bound and lasts long
// enough to expose a fault that appears some seconds after the start. There is no step between it
// and full traffic: one second at a share of 0.2 would spend the rest of the Bound, which is kept
// for the second it takes to detect a fault that appears under full load only.
var steps = []step{
	{until: 0.4, requests: 20},
	{share: 1, until: 0.66, requests: 120},
}

// decideBy is the fraction of the duration by which the outcome is decided: recording it takes
// up to a second with a slow store.
const decideBy = 0.9

// firstShareBudget is the fraction of Bound.Share that the first step spends; the rest is kept for
// the second it takes to detect a fault that appears under full load only.
const firstShareBudget = 0.5

// rateSpan is how long requests are counted before the first share is chosen by their rate.
const rateSpan = 1200 * time.Millisecond

// firstSlackBudget is the fraction of Bound.Slack that the first step of a low-traffic service
// may spend.
const firstSlackBudget = 0.56

// firstRequestsRatio is the fraction of the requests expected in the first step that is enough
// for the next step.
const firstRequestsRatio = 0.72

// maxFirstShare caps the first share of a low-traffic service.
const maxFirstShare = 0.25

// firstShare returns the share of the first step for a service with rate requests per second.
func firstShare(bound Bound, rate float64, duration time.Duration) float64 {
	expected := rate * steps[0].until * duration.Seconds()
	return min(max(firstShareBudget*bound.Share, bound.firstRequests()/max(expected, 1)), maxFirstShare)
}

// firstRequests returns how many requests the first step of a low-traffic service aims for.
func (b Bound) firstRequests() float64 { return firstSlackBudget * b.Slack }

// requestsNeeded returns how many requests the new version must have handled to leave the step.
func (b Bound) requestsNeeded(at int) uint64 {
	if at == 0 {
		return min(steps[at].requests, uint64(firstRequestsRatio*b.firstRequests()))
	}
	return steps[at].requests
}

// decision is the coordinator's next action for a rollout.
type decision struct {
	step int
	// share of the requests at the step.
	share float64
	// done is set when the rollout is completed.
	done bool
	// reason is set when the version is rolled back.
	reason string
	// fault is set if the reason is a fault of the version.
	fault bool
}

// decide returns the next action for a rollout that has run for elapsed of duration. It has been
// at the step with index at for stepTime; -1 is before the first step. upstreams counts those of the
// new version, oldInFlight the requests in flight at upstreams of other versions.
func decide(bound Bound, old, next tally, at int, elapsed, stepTime, duration time.Duration, upstreams, oldInFlight int) decision {
	d := decideStep(bound, old, next, at, elapsed, stepTime, duration, upstreams, oldInFlight)
	if d.step >= 0 {
		rate := float64(old.requests()+next.requests()) / max(elapsed.Seconds(), 1)
		d.share = max(steps[d.step].share, firstShare(bound, rate, duration))
	}
	return d
}

func decideStep(bound Bound, old, next tally, at int, elapsed, stepTime, duration time.Duration, upstreams, oldInFlight int) decision {
	if reason := assess(old, next); reason != "" {
		return decision{step: at, reason: reason, fault: true}
	}
	elapsedRatio := float64(elapsed) / float64(duration)
	if at < 0 {
		if upstreams > 0 && elapsed >= rateSpan {
			return decision{step: 0}
		}
		return decideBlocked(at, elapsedRatio, stepTime, next, "no upstream runs the version")
	}
	s := steps[at]
	if at == 0 && old.recentFailureRatio() > maxBaselineFailures {
		return decideBlocked(at, elapsedRatio, stepTime, next, "the old version fails as well")
	}
	if elapsedRatio < s.until || stepTime < minStepTime || next.requests() < bound.requestsNeeded(at) {
		return decideBlocked(at, elapsedRatio, stepTime, next, fmt.Sprintf("%d requests handled at share %.2f", next.requests(), s.share))
	}
	if at == len(steps)-1 {
		return decision{step: at, done: oldInFlight == 0 || elapsedRatio > decideBy}
	}
	return decision{step: at + 1}
}

// maxBaselineFailures is the failure ratio of the old version above which it is no baseline: a
// dependency of both versions may be failing and hide a fault of the new one, so the rollout stays
// at its first share.
const maxBaselineFailures = 0.2

// minStepTime is the minimum time at a step: long enough for the step to reach every node and for
// responses at the new share to be counted.
const minStepTime = 700 * time.Millisecond

// minLateRequests is how many requests a version must have handled to be rolled out further when
// time runs out.
const minLateRequests = 15

// decideBlocked decides on a rollout that does not meet the conditions for its next step: it stays at the
// step while there is time. After that it steps up or is completed anyway if the version has
// handled minLateRequests, else it is rolled back.
func decideBlocked(at int, elapsedRatio float64, stepTime time.Duration, next tally, reason string) decision {
	switch {
	case elapsedRatio < decideBy-float64(len(steps)-1-at)*stepReserve:
		return decision{step: at}
	case next.requests() < minLateRequests:
		if elapsedRatio < decideBy {
			return decision{step: at}
		}
		return decision{step: at, reason: "deadline reached: " + reason}
	case at == len(steps)-1:
		return decision{step: at, done: elapsedRatio >= decideBy && stepTime >= minStepTime}
	default:
		return decision{step: at + 1}
	}
}

// stepReserve is the fraction of the duration that is reserved for each remaining step when time
// runs out.
const stepReserve = 0.06

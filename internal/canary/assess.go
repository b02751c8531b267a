package canary

import (
	"fmt"
	"time"
)

// tally has the evidence of one version by route, summed over its upstreams.
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

// answered is how many requests the version answered since the rollout began.
func (t tally) answered() (n uint64) {
	for _, e := range t {
		n += e.All.Total
	}
	return n
}

// failing is the part of the latest requests that failed.
func (t tally) failing() float64 {
	var c Counts
	for _, e := range t {
		c.add(e.Recent)
	}
	return c.failedPart()
}

// Bounds of the verdict on a version. A bad one fails a third of a route's requests or more,
// or takes several times as long.
const (
	// badFailures and badPart are the least number and part of failures that count, beyond
	// twice the part that the old version fails at the same time.
	badFailures = 4
	badPart     = 0.12
	// A quiet route shows fewer failures: these many suffice when they are a larger part.
	fewFailures = 3
	fewPart     = 0.25
	// slowAnswers is the least number of answers by which a route is called slow, slowFactor how
	// much slower than the old version's it then is in the mean.
	slowAnswers = 6
	slowFactor  = 2.5
	// slowFloor is a difference in milliseconds below which nothing is called slow.
	slowFloor = 40
)

// assess says why the new version is bad; empty when nothing shows that it is.
func assess(old, next tally) string {
	for name, e := range next {
		o := old.route(name)
		for _, w := range []struct{ old, next Counts }{{o.Recent, e.Recent}, {o.All, e.All}} {
			if reason := compare(w.old, w.next); reason != "" {
				return "route " + name + ": " + reason
			}
		}
	}
	return ""
}

func compare(old, next Counts) string {
	part, usual := next.failedPart(), 2*old.failedPart()
	if (next.Failed >= badFailures && part > badPart+usual) || (next.Failed >= fewFailures && next.Total >= slowAnswers && part > fewPart+usual) {
		return fmt.Sprintf("%d of %d failed, of the old version %d of %d", next.Failed, next.Total, old.Failed, old.Total)
	}
	if next.Total >= slowAnswers && old.Total >= slowAnswers && next.mean() > slowFactor*old.mean()+slowFloor {
		return fmt.Sprintf("%d answers took %.0f ms in the mean, of the old version %.0f ms", next.Total, next.mean(), old.mean())
	}
	return ""
}

// step is one share of the traffic on the way of a new version.
type step struct {
	// share of the requests that goes to the new version; 0 for the first one, which follows the bound.
	share float64
	// until is the part of the rollout's duration up to which the share stays at least.
	until float64
	// answers of the new version that must have been seen before the next step.
	answers uint64
}

// Bound is the operator's bound on a bad version: of the requests that reach its service in the
// rollout's whole time it may get Share, and Slack requests beside them.
type Bound struct{ Share, Slack float64 }

// steps lead a version from its first requests to all of them within most of its time. The first
// share is half of the bound and is held for so long that a fault that shows late still falls into
// it. There is none between it and the whole: a share of a fifth for a second would cost what is
// left for the second in which a fault shows that comes with the whole load only.
var steps = []step{
	{until: 0.4, answers: 20},
	{share: 1, until: 0.66, answers: 120},
}

// finishBy is the part of the duration by which the outcome has to be decided: writing it takes
// a second at most with a slow store.
const finishBy = 0.9

// firstPart is the part of the bound that the first share spends; the rest is for the second in
// which a fault shows that comes with the whole load.
const firstPart = 0.5

// firstAnswers bounds what a quiet service's first share should bring: with a fault in a third of
// so many answers it shows for certain.
const firstAnswers = 28

// rateSpan is how long the requests of a service are counted before its first share is chosen.
const rateSpan = 1200 * time.Millisecond

// firstSlack is the part of the slack that a quiet service's first share may spend.
const firstSlack = 0.56

// firstSeen is the part of the answers that the first share should bring which suffices to go on.
const firstSeen = 0.72

// maxFirst bounds the first share of a quiet service.
const maxFirst = 0.25

// firstShare is the first share of a service with rate requests a second.
func firstShare(bound Bound, rate float64, duration time.Duration) float64 {
	expected := rate * steps[0].until * duration.Seconds()
	return min(max(firstPart*bound.Share, bound.firstAnswers()/max(expected, 1)), maxFirst)
}

// firstAnswers is about how many answers the first share of a quiet service should bring.
func (b Bound) firstAnswers() float64 { return min(firstAnswers, firstSlack*b.Slack) }

// answers is how many must have been seen at a step: of the first share, most of those expected.
func (b Bound) answers(at int) uint64 {
	if at == 0 {
		return min(steps[at].answers, uint64(firstSeen*b.firstAnswers()))
	}
	return steps[at].answers
}

// decision is what a judge does next.
type decision struct {
	step int
	// share is that of the step.
	share float64
	// done says that the new version has taken over.
	done bool
	// reason is set when the version is taken back.
	reason string
}

// decide looks at a rollout that has run for elapsed of duration and stands at a step.
// held is how long it has stood there; oldBusy counts requests at upstreams of other versions.
func decide(bound Bound, old, next tally, at int, elapsed, held, duration time.Duration, upstreams, oldBusy int) decision {
	d := decideStep(bound, old, next, at, elapsed, held, duration, upstreams, oldBusy)
	if d.step >= 0 {
		rate := float64(old.answered()+next.answered()) / max(elapsed.Seconds(), 1)
		d.share = max(steps[d.step].share, firstShare(bound, rate, duration))
	}
	return d
}

func decideStep(bound Bound, old, next tally, at int, elapsed, held, duration time.Duration, upstreams, oldBusy int) decision {
	if reason := assess(old, next); reason != "" {
		return decision{step: at, reason: reason}
	}
	part := float64(elapsed) / float64(duration)
	if at < 0 {
		if upstreams > 0 && elapsed >= rateSpan {
			return decision{step: 0}
		}
		return late(at, part, held, next, "no upstream of the version")
	}
	s := steps[at]
	if at == 0 && old.failing() > blindPart {
		return late(at, part, held, next, "the old version fails too")
	}
	if part < s.until || held < minHeld || next.answered() < bound.answers(at) {
		return late(at, part, held, next, fmt.Sprintf("%d answers at share %.2f", next.answered(), s.share))
	}
	if at == len(steps)-1 {
		return decision{step: at, done: oldBusy == 0 || part > finishBy}
	}
	return decision{step: at + 1}
}

// blindPart is the part of the old version's requests whose failure hides a fault of the new one:
// while a service behind both fails so much, a version waits at its first share.
const blindPart = 0.2

// minHeld is the least time at a step: news of it reaches every node, and answers come back.
const minHeld = 700 * time.Millisecond

// leastEvidence is how many answers a version must have given to take over for want of time.
const leastEvidence = 15

// late ends a rollout whose time is nearly over: with enough good answers it goes on faster,
// else it is taken back.
func late(at int, part float64, held time.Duration, next tally, reason string) decision {
	switch {
	case part < finishBy-float64(len(steps)-1-at)*hurry:
		return decision{step: at}
	case next.answered() < leastEvidence:
		if part < finishBy {
			return decision{step: at}
		}
		return decision{step: at, reason: "not done in time: " + reason}
	case at == len(steps)-1:
		return decision{step: at, done: part >= finishBy && held >= minHeld}
	default:
		return decision{step: at + 1}
	}
}

// hurry is the part of the duration that each step left needs when time runs out.
const hurry = 0.06

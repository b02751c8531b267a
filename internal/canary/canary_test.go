package canary

import (
	"fmt"
	"testing"
	"time"

	"celerybank/internal/orders"
)

// bounds are those of the known deployments first, then tighter and wider ones.
var bounds = []Bound{{0.1, 50}, {0.05, 25}, {0.2, 50}, {0.05, 50}}

// version says how a new version behaves at a moment: whether request number i fails, and
// how long it takes against the old one's 100 ms.
type version struct {
	fails func(i int, share float64, since time.Duration) bool
	slow  float64
	// both says whether request number i fails at either version, as by a service that both call.
	both func(i int, since time.Duration) bool
	// good versions have to be done in time, others taken back.
	good bool
}

var versions = map[string]version{
	"good":                                  {good: true},
	"good, with few errors":                 {good: true, fails: func(i int, _ float64, _ time.Duration) bool { return i%200 == 7 }},
	"fails a third":                         {fails: func(i int, _ float64, _ time.Duration) bool { return i%3 == 0 }},
	"fails after 3.4 s":                     {fails: func(i int, _ float64, since time.Duration) bool { return since > 3400*time.Millisecond && i%2 == 0 }},
	"fails under load":                      {fails: func(i int, share float64, _ time.Duration) bool { return share > 0.5 && i%3 == 0 }},
	"fails a fifth under load":              {fails: func(i int, share float64, _ time.Duration) bool { return share > 0.9 && i%5 == 0 }},
	"eight times slower":                    {slow: 8},
	"good, while a service behind it fails": {good: true, both: threeInFour},
	"fails after 3.4 s, while a service behind it fails": {both: threeInFour,
		fails: func(i int, _ float64, since time.Duration) bool { return since > 3400*time.Millisecond && i%2 == 0 }},
}

// threeInFour requests fail in the first seven seconds, as on iblee-mesh scale-1, where each
// stock-check needs answers of a service that sheds half.
func threeInFour(i int, since time.Duration) bool { return since < 7*time.Second && i%4 != 1 }

// rollout plays a rollout of a service with rate requests a second against the judge's rule,
// and returns what the new version got and how it ended.
func play(bound Bound, v version, rate float64, duration time.Duration) (got int, outcome orders.Outcome) {
	const (
		tick = judgeInterval
		// news of a step takes this long to reach the nodes, that of a withdrawal to reach the owners.
		spread   = 600 * time.Millisecond
		withdraw = 50 * time.Millisecond
	)
	type sample struct {
		at     time.Duration
		failed bool
		millis uint64
	}
	var old, next []sample
	step, stepAt, share, stepShare := -1, time.Duration(0), 0.0, 0.0
	carry, due := 0.0, 0.0
	sums := func(list []sample, now, span time.Duration) (c Counts) {
		for _, s := range list {
			if s.at <= now && s.at > now-span {
				c.Total, c.Millis = c.Total+1, c.Millis+s.millis
				if s.failed {
					c.Failed++
				}
			}
		}
		return c
	}
	for now := tick; now < duration; now += tick {
		if step >= 0 && now-stepAt >= spread {
			share = stepShare
		}
		due += rate * tick.Seconds()
		n := int(due)
		due -= float64(n)
		for range n {
			if carry += share; carry >= 1 {
				carry--
				got++
				work := max(v.slow, 1) * 100
				failed := (v.fails != nil && v.fails(got, share, now)) || (v.both != nil && v.both(got, now))
				next = append(next, sample{now + time.Duration(work)*time.Millisecond, failed, uint64(work)})
				continue
			}
			old = append(old, sample{now + 100*time.Millisecond, len(old)%500 == 3 || (v.both != nil && v.both(len(old), now)), 100})
		}
		o, nt := tally{}, tally{}
		o.add(RouteEvidence{Route: "r", Recent: sums(old, now, recentSpan), All: sums(old, now, duration)})
		nt.add(RouteEvidence{Route: "r", Recent: sums(next, now, recentSpan), All: sums(next, now, duration)})
		d := decide(bound, o, nt, step, now, now-stepAt, duration, 4, 0)
		switch {
		case d.reason != "":
			return got + int(rate*share*withdraw.Seconds()), orders.RolledBack
		case d.done:
			return got, orders.Completed
		case d.step != step:
			step, stepAt, stepShare = d.step, now, d.share
		}
	}
	return got, orders.Running
}

// Pattern: versions that are good, bad at once, late, under load, or slow, at services of many
// sizes. Bad ones get no more than they may and are taken back; good ones are done in time.
func TestVersionsEndAsTheyShould(t *testing.T) {
	for name, v := range versions {
		for _, rate := range []float64{30, 60, 150, 300, 700} {
			for _, duration := range []time.Duration{12 * time.Second, 15 * time.Second, 30 * time.Second} {
				for _, b := range bounds {
					t.Run(fmt.Sprintf("%s, %.0f a second, %v, bound %v", name, rate, duration, b), func(t *testing.T) {
						got, outcome := play(b, v, rate, duration)
						switch allowed := b.Share*rate*duration.Seconds() + b.Slack; {
						case v.good && outcome != orders.Completed:
							t.Errorf("%v", outcome)
						case !v.good && (outcome != orders.RolledBack || float64(got) > allowed):
							t.Errorf("%v with %d requests, allowed %.0f", outcome, got, allowed)
						}
					})
				}
			}
		}
	}
}

// A fault of both versions is not the new one's.
func TestSharedFaultTakesNothingBack(t *testing.T) {
	o, n := tally{}, tally{}
	o.add(RouteEvidence{Route: "r", Recent: Counts{Total: 200, Failed: 60, Millis: 20000}, All: Counts{Total: 800, Failed: 80, Millis: 80000}})
	n.add(RouteEvidence{Route: "r", Recent: Counts{Total: 20, Failed: 7, Millis: 2000}, All: Counts{Total: 60, Failed: 8, Millis: 6000}})
	if reason := assess(o, n); reason != "" {
		t.Error(reason)
	}
}

// The old upstreams end at once when a rollout is done: not while requests run there, except
// when time runs out.
func TestDoneWaitsForTheOldUpstreams(t *testing.T) {
	n := tally{}
	n.add(RouteEvidence{Route: "r", All: Counts{Total: 500, Millis: 50000}})
	last := len(steps) - 1
	if d := decide(bounds[0], tally{}, n, last, 7*time.Second, 3*time.Second, 10*time.Second, 4, 1); d.done {
		t.Error("done with a request at an old upstream")
	}
	if d := decide(bounds[0], tally{}, n, last, 7*time.Second, 3*time.Second, 10*time.Second, 4, 0); !d.done {
		t.Error("not done")
	}
	if d := decide(bounds[0], tally{}, n, last, 9100*time.Millisecond, 3*time.Second, 10*time.Second, 4, 1); !d.done {
		t.Error("not done in time")
	}
}

// Without an upstream of the version its rollout is taken back in time.
func TestMissingVersionIsTakenBack(t *testing.T) {
	if d := decide(bounds[0], tally{}, tally{}, -1, 8*time.Second, 8*time.Second, 10*time.Second, 0, 0); d.reason != "" {
		t.Error("taken back early")
	}
	if d := decide(bounds[0], tally{}, tally{}, -1, 9200*time.Millisecond, 9*time.Second, 10*time.Second, 0, 0); d.reason == "" {
		t.Error("not taken back")
	}
}

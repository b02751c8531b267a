package delivery

import (
	"testing"
	"testing/synctest"
	"time"
)

// lookups and children are the two requests of a deployment whose queues stood full for as long as the overload lasted:
// callers waited for two processing times, and each retry met the same queue.
var (
	lookups  = simRoute{name: "a", work: 140 * time.Millisecond, deadline: 1200 * time.Millisecond, spread: 0.3, repeats: 2}
	children = simRoute{name: "a", work: 34 * time.Millisecond, deadline: 400 * time.Millisecond, spread: 0.3, repeats: 2}
)

// ofCapacity returns the processing time of the served requests, as a fraction of what the slots could process in span.
func (r *simResult) ofCapacity(slots int, work, span time.Duration) float64 {
	return float64(r.served) * work.Seconds() / (float64(slots) * span.Seconds())
}

// Under a lasting overload the wait stays below a quarter of the callers' time while the upstream serves what it can, also
// if a tenth of the callers retry at once until their deadlines.
func TestQueueDoesNotStandUnderLastingOverload(t *testing.T) {
	const slots, span = 6, 30 * time.Second
	for _, r := range []simRoute{lookups, children} {
		for _, load := range []float64{0.9, 0.95, 1.1, 1.3, 2, 4} {
			for _, impatient := range []float64{0, 0.1} {
				synctest.Test(t, func(t *testing.T) {
					r := r
					r.rate, r.impatient = load*slots/r.work.Seconds(), impatient
					got := simulate(t, 3, slots, span, nil, nil, r)["a"]
					share := got.ofCapacity(slots, r.work, span) / min(load, 1)
					p50, p90 := quantile(got.waits, .5), quantile(got.waits, .9)
					t.Logf("work %v, load %.2f, impatient %.1f: served %.3f of the capacity, wait p50 %v p90 %v, response p50 %v p90 %v, %d refusals of %d callers", r.work, load, impatient, share,
						p50.Round(time.Millisecond), p90.Round(time.Millisecond), got.quantile(.5).Round(time.Millisecond), got.quantile(.9).Round(time.Millisecond), len(got.refusals), got.callers)
					if share < 0.95 {
						t.Errorf("work %v, load %.2f: served %.3f of what the upstream can serve, want at least 0.95", r.work, load, share)
					}
					if p90 > r.deadline/4 && load > 1 {
						t.Errorf("work %v, load %.2f: a tenth waited for %v or more, want at most %v", r.work, load, p90, r.deadline/4)
					}
				})
			}
		}
	}
}

// Retries of refused callers kept the queues full after the load had fallen below the capacity. Newcomers are served and
// wait little a few seconds after that, also if many callers retry at once.
func TestRetriesDoNotKeepTheQueueStanding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 6
		gate := NewGate()
		burst := children
		burst.rate, burst.impatient = 3*slots/burst.work.Seconds(), 0.3
		simulate(t, 1, slots, 10*time.Second, nil, gate, burst)
		time.Sleep(2 * time.Second)
		after := children
		after.rate, after.impatient = 0.85*slots/after.work.Seconds(), 0.3
		got := simulate(t, 2, slots, 5*time.Second, nil, gate, after)["a"]
		if p90 := quantile(got.waits, .9); got.ratio() < 0.99 || p90 > after.deadline/4 {
			t.Errorf("served %.3f of the callers, a tenth waited for %v or more; want at least 0.99 and at most %v", got.ratio(), p90, after.deadline/4)
		}
	})
}

// A paced upstream gets through less than its slots could process, so the demand for it stands earlier.
func TestDemandForAPacedUpstreamStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate()
		g.Open(9, time.Now().Add(time.Minute), 10)
		ctx := t.Context()
		for range 60 {
			go func() {
				if _, ok := g.Acquire(ctx, slotRequest(1, 4*time.Second)); ok {
					time.Sleep(initialMeanTime)
					g.Release("", initialMeanTime)
				}
			}()
		}
		synctest.Wait()
		if refused, ok := g.Acquire(ctx, slotRequest(1, 4*time.Second)); ok || refused.RetryAfter < time.Second/2 {
			t.Errorf("got ok %v, refusal %+v, want a refusal with a RetryAfter of at least 500 ms", ok, refused)
		}
		time.Sleep(10 * time.Second)
	})
}

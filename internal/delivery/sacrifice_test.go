package delivery

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// refusedAfter returns the q-quantile of the times to a refusal, as fractions of the time that the caller had left.
func (r *simResult) refusedAfter(q float64) float64 {
	if len(r.refusals) == 0 {
		return 0
	}
	slices.Sort(r.refusals)
	return r.refusals[int(q*float64(len(r.refusals)-1))]
}

// Two routes share an upstream, half of its load each. Of the lower priority, requests were served while some of the higher
// one were refused. Those of the higher priority are served first, the others get what is left. The figures of
// docs/design/call-trees.md are the log of this test.
func TestLowerPriorityGetsWhatIsLeft(t *testing.T) {
	const slots, span = 6, 30 * time.Second
	for _, load := range []float64{0.95, 1.3, 2, 4} {
		for _, burst := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				a, b := lookups, simRoute{name: "b", rank: 2, work: 180 * time.Millisecond, deadline: 3 * time.Second, spread: 0.3, repeats: 2}
				a.rate, b.rate = load/2*slots/a.work.Seconds(), load/2*slots/b.work.Seconds()
				length := span
				if burst {
					length = time.Second
				}
				got := simulate(t, 5, slots, length, nil, nil, a, b)
				for name, r := range got {
					t.Logf("load %.2f, burst %v, %s: served %.3f, late %.3f, refused %.3f; response p50 %v p99 %v; refused after p50 %.2f p99 %.2f of the time", load, burst, name, r.ratio(),
						float64(r.unfinished)/float64(r.callers), 1-r.ratio()-float64(r.unfinished)/float64(r.callers), r.quantile(.5).Round(time.Millisecond), r.quantile(.99).Round(time.Millisecond), r.refusedAfter(.5), r.refusedAfter(.99))
				}
				if burst {
					return
				}
				first := min(1, 2/load)
				if least := 0.9 * first; got["a"].ratio() < least {
					t.Errorf("load %.2f: served %.3f of the higher priority, want at least %.3f", load, got["a"].ratio(), least)
				}
				used := got["a"].ofCapacity(slots, a.work, span) + got["b"].ofCapacity(slots, b.work, span)
				offered := (float64(got["a"].callers)*a.work.Seconds() + float64(got["b"].callers)*b.work.Seconds()) / (slots * span.Seconds())
				if least := 0.95 * min(offered, 1); used < least {
					t.Errorf("load %.2f: used %.3f of the capacity, want at least %.3f", load, used, least)
				}
			})
		}
	}
}

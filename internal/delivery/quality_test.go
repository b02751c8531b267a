package delivery

import (
	"math/rand/v2"
	"testing"
	"time"

	"celerybank/internal/proxy"
)

// Scenario: upstreams differ in speed and their processing times scatter. The owner's estimates tell them
// apart, and decay after slowness or failures have passed.
func TestQualityEstimates(t *testing.T) {
	const mean = 200 * time.Millisecond
	const gap = 50 * time.Millisecond // 20 requests a second
	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(3, 0))
	respond := func(q *quality, n int, slowness float64, failing float64) {
		for range n {
			now = now.Add(gap)
			took := time.Duration(slowness * float64(mean) * (0.5 + r.Float64()))
			q.observe(took, mean, r.Float64() < failing, now)
		}
	}
	report := func(q *quality) (l proxy.Load) { q.report(&l, now); return l }
	if q := new(quality); report(q).Slowness != 0 {
		t.Error("got a report without any response")
	}
	for _, c := range []struct {
		slowness, failing float64
	}{{0.5, 0}, {1, 0}, {1.5, 0}, {5, 0}, {1, 0.45}} {
		q := new(quality)
		respond(q, 100, c.slowness, c.failing)
		got := report(q)
		if s := float64(got.Slowness) / proxy.RatioScale; s < 0.75*c.slowness || s > 1.25*c.slowness {
			t.Errorf("got slowness %v, want %v within 25%%", s, c.slowness)
		}
		if f := float64(got.Failures) / proxy.RatioScale; f < c.failing-0.25 || f > c.failing+0.25 || (c.failing == 0 && f > 0) {
			t.Errorf("got failure ratio %v, want %v within 0.25", f, c.failing)
		}
		now = now.Add(4 * qualityHalfLife) // no requests meanwhile
		respond(q, minResponses, 1, 0)
		if got = report(q); float64(got.Slowness) > 1.6*proxy.RatioScale || float64(got.Failures) > 0.1*proxy.RatioScale {
			t.Errorf("after recovery: got %+v, want Slowness at most 1600 and Failures at most 100", got)
		}
	}
}

package delivery

import (
	"math/rand/v2"
	"testing"
	"time"

	"celerybank/internal/proxy"
)

// Pattern: upstreams of unequal speed whose work times scatter, in a large mesh. The owner's mean
// tells them apart, and forgets a slowness or failures that have passed.
func TestOwnerTellsHowItsUpstreamWorks(t *testing.T) {
	const usual = 200 * time.Millisecond
	const gap = 50 * time.Millisecond // 20 requests a second
	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(3, 0))
	answers := func(q *quality, n int, speed float64, failing float64) {
		for range n {
			now = now.Add(gap)
			took := time.Duration(speed * float64(usual) * (0.5 + r.Float64()))
			q.observe(took, usual, r.Float64() < failing, now)
		}
	}
	report := func(q *quality) (l proxy.Load) { q.report(&l, now); return l }
	if q := new(quality); report(q).Speed != 0 {
		t.Error("an owner that has seen nothing tells something")
	}
	for _, c := range []struct {
		speed, failing float64
	}{{0.5, 0}, {1, 0}, {1.5, 0}, {5, 0}, {1, 0.45}} {
		q := new(quality)
		answers(q, 100, c.speed, c.failing)
		got := report(q)
		if s := float64(got.Speed) / proxy.Thousand; s < 0.75*c.speed || s > 1.25*c.speed {
			t.Errorf("speed %v, told %v", c.speed, s)
		}
		if f := float64(got.Failures) / proxy.Thousand; f < c.failing-0.25 || f > c.failing+0.25 || (c.failing == 0 && f > 0) {
			t.Errorf("failing %v, told %v", c.failing, f)
		}
		now = now.Add(4 * qualityFade) // nobody sends there
		answers(q, leastAnswers, 1, 0)
		if got = report(q); float64(got.Speed) > 1.6*proxy.Thousand || float64(got.Failures) > 0.1*proxy.Thousand {
			t.Errorf("after a while: %+v", got)
		}
	}
}

package delivery

import (
	"math"
	"sync"
	"time"

	"celerybank/internal/proxy"
)

// Parameters of the estimates that an owner keeps of its upstream.
const (
	// qualityWeight is the weight of one response. Processing times scatter by half of their mean, the
	// average of twenty by about a tenth of it.
	qualityWeight = 0.05
	// minResponses is the number of responses before the estimates are reported.
	minResponses = 8
	// qualityHalfLife is the half-life of the failure ratio; that of the slowness is twice as long. An
	// upstream that has recovered gets few requests, which must suffice to show it.
	qualityHalfLife = 4 * time.Second
	// maxSlowness limits the slowness that one response can show.
	maxSlowness = 12
)

// quality estimates how one upstream process performs. The owner sees every request to the upstream,
// while an entry node of a large mesh sends it only one every few seconds.
type quality struct {
	mu sync.Mutex
	// slowness is the processing time relative to the mean on the same routes.
	slowness, failureRatio float64
	responses              int
	updated                time.Time
}

// observe records one outcome: the processing time, the mean on the route (0 when unknown), and whether
// the request failed or the upstream refused it, which says nothing about its speed.
func (q *quality) observe(took, mean time.Duration, failed bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.decay(now)
	q.responses++
	sample := 0.0
	switch {
	case failed:
		sample = 1
	case took > 0 && mean > 0:
		q.slowness += qualityWeight * (min(float64(took)/float64(mean), maxSlowness) - q.slowness)
	}
	q.failureRatio += qualityWeight * (sample - q.failureRatio)
}

// decay decays the estimates up to now. q.mu is held.
func (q *quality) decay(now time.Time) {
	if q.updated.IsZero() {
		q.slowness = 1
	} else {
		keep := math.Exp2(-float64(now.Sub(q.updated)) / float64(qualityHalfLife))
		q.failureRatio *= keep
		if q.slowness > 1 {
			q.slowness = 1 + (q.slowness-1)*math.Sqrt(keep)
		}
	}
	q.updated = now
}

// report sets the estimates in l once there are enough responses.
func (q *quality) report(l *proxy.Load, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.responses < minResponses {
		return
	}
	q.decay(now)
	l.Slowness, l.Failures = max(1, int(q.slowness*proxy.RatioScale+0.5)), int(q.failureRatio*proxy.RatioScale+0.5)
}

package delivery

import (
	"math"
	"sync"
	"time"

	"celerybank/internal/proxy"
)

// Constants of what an owner learns of its upstream.
const (
	// qualityWeight is the weight of one answer: work times scatter by half of their mean, the mean
	// of twenty by a tenth of that.
	qualityWeight = 0.05
	// leastAnswers is how many answers it takes to say anything.
	leastAnswers = 8
	// qualityFade halves what is known of failures in this time, and what is known of slowness in
	// twice this time: an upstream that has recovered must be seen to be well by few requests.
	qualityFade = 4 * time.Second
	// maxSpeed bounds the factor that one answer can show.
	maxSpeed = 12
)

// quality is how one upstream process works, as its owner sees it: it sees every request, where an
// entry of a large mesh sees one of the upstream in seconds.
type quality struct {
	mu              sync.Mutex
	speed, failures float64
	answers         int
	at              time.Time
}

// observe takes in one outcome: the work time, what is usual on the route (0 when unknown), and
// whether the request failed or was turned away, which says nothing of the speed.
func (q *quality) observe(took, usual time.Duration, failed bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fadeTo(now)
	q.answers++
	bad := 0.0
	switch {
	case failed:
		bad = 1
	case took > 0 && usual > 0:
		q.speed += qualityWeight * (min(float64(took)/float64(usual), maxSpeed) - q.speed)
	}
	q.failures += qualityWeight * (bad - q.failures)
}

// fadeTo lets what is known grow old. q.mu is held.
func (q *quality) fadeTo(now time.Time) {
	if q.at.IsZero() {
		q.speed = 1
	} else {
		keep := math.Exp2(-float64(now.Sub(q.at)) / float64(qualityFade))
		q.failures *= keep
		if q.speed > 1 {
			q.speed = 1 + (q.speed-1)*math.Sqrt(keep)
		}
	}
	q.at = now
}

// report adds what is known to l.
func (q *quality) report(l *proxy.Load, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.answers < leastAnswers {
		return
	}
	q.fadeTo(now)
	l.Speed, l.Failures = max(1, int(q.speed*proxy.Thousand+0.5)), int(q.failures*proxy.Thousand+0.5)
}

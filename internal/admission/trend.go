package admission

import (
	"sync"
	"time"
)

// A route's latency has jumped when its short-term average has been above jumpFactor times its long-term
// average, and above it by more than jumpFloor, for at least jumpSamples responses and jumpTime.
const (
	jumpFactor  = 3
	jumpFloor   = 5 * time.Millisecond
	jumpSamples = 5
	jumpTime    = 100 * time.Millisecond
	// clipFactor limits a sample relative to the long-term average, so that one outlier is no jump.
	clipFactor = 4
)

// Weights of a new sample in the averages.
const (
	shortWeight = 0.25
	longWeight  = 0.02
	// fallWeight replaces longWeight while the short-term average is below the long-term one.
	fallWeight = 0.1
	// baselineSamples is the number of samples averaged before the averages are compared.
	baselineSamples = 20
)

// maxTrends limits the number of routes tracked.
const maxTrends = 256

// trend compares the recent latency of one route with its long-term level, in nanoseconds.
type trend struct {
	short, long float64
	samples     int
	// over counts consecutive samples above the jump threshold, the first one at overSince.
	over      int
	overSince time.Time
}

type trends map[string]*trend

// observe records one latency and reports whether it completes a jump. The trend then restarts with a
// new baseline.
func (t trends) observe(route string, latency time.Duration, now time.Time) bool {
	r := t[route]
	if r == nil {
		if len(t) >= maxTrends {
			return false
		}
		r = &trend{}
		t[route] = r
	}
	x := float64(latency)
	if r.samples < baselineSamples {
		r.samples++
		r.long += (x - r.long) / float64(r.samples)
		r.short = r.long
		return false
	}
	r.short += shortWeight * (min(x, clipFactor*r.long+float64(jumpFloor)) - r.short)
	if r.short > jumpFactor*r.long && r.short-r.long > float64(jumpFloor) {
		return r.exceed(now)
	}
	r.over = 0
	weight := longWeight
	if r.short < r.long {
		weight = fallWeight
	}
	r.long += weight * (r.short - r.long)
	return false
}

// exceed counts a sample above the threshold and reports whether it completes a jump.
func (r *trend) exceed(now time.Time) bool {
	if r.over == 0 {
		r.overSince = now
	}
	r.over++
	if r.over < jumpSamples || now.Sub(r.overSince) < jumpTime {
		return false
	}
	*r = trend{}
	return true
}

// level returns the short-term average of a route, 0 if it is not tracked. It locks mu, which guards t.
func (t trends) level(mu sync.Locker, route string) time.Duration {
	mu.Lock()
	defer mu.Unlock()
	if r := t[route]; r != nil {
		return time.Duration(r.short)
	}
	return 0
}

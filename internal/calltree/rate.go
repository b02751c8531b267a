package calltree

import (
	"math"
	"math/rand/v2"
	"time"
)

// control changes the rate once in an interval: down in proportion to the excess demand, up while there is none.
func (r *route) control(now time.Time) {
	interval := max(minInterval, r.runTime)
	past := now.Sub(r.changed)
	if past < interval || r.news < minNews && past < newsTimeout {
		return
	}
	// Weighted by time, so that a gap between requests counts as what it is.
	weight := 1 - math.Exp(-past.Seconds()/rateMemory.Seconds())
	r.runRate += weight * (float64(r.admitted)/past.Seconds() - r.runRate)
	r.changed, r.admitted, r.news = now, 0, 0
	_, pressure := r.worst(now)
	if r.rate == 0 {
		if pressure <= 1 {
			return
		}
		r.rate, r.tokens, r.refilled, r.constrained = max(r.runRate/pressure, minRate), 0, now, now
		r.changed = now.Add(rateMemory)
		return
	}
	r.refill(now)
	r.adjust(pressure, now)
}

// adjust changes a rate by the pressure.
func (r *route) adjust(pressure float64, now time.Time) {
	if pressure > 1 {
		r.constrained = now
	}
	if now.Sub(r.constrained) > unlimitedAfter {
		r.rate, r.waiting = 0, 0
		return
	}
	power := gain
	if pressure < idlePressure {
		power = idleGain
	}
	rate := r.rate * min(max(math.Pow(max(pressure, minPressure), -power), 1/maxStep), maxStep)
	if rate > r.rate {
		rate = max(r.rate, min(rate, headroom*r.runRate)) // a rate that is not used says nothing
	}
	r.rate = max(rate, minRate)
}

// worst returns the called service with the largest pressure.
func (r *route) worst(now time.Time) (name string, pressure float64) {
	for n, s := range r.services {
		age := max(0, now.Sub(s.heard)-minInterval)
		known := math.Exp2(-age.Seconds() / newsHalfLife.Seconds())
		if p := known*s.pressure + (1-known)*unknownPressure; p > pressure {
			name, pressure = n, p
		}
	}
	return name, pressure
}

// refill adds the admissions of the time since the last refill.
func (r *route) refill(now time.Time) {
	past := now.Sub(r.refilled).Seconds()
	r.refilled = now
	r.tokens = min(r.tokens+past*r.rate, 1+r.rate*burstTime.Seconds())
	r.waiting = max(0, r.waiting-past*r.rate)
}

// retryAfter spreads the refused callers over the time in which all of them could be admitted.
func (r *route) retryAfter() time.Duration {
	wait := min(time.Duration((1+r.waiting)/r.rate*float64(time.Second)), maxRetryAfter)
	return wait/4 + rand.N(wait)
}

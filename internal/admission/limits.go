package admission

import (
	"time"
)

// DefaultSlowStart is the default time until a cold upstream gets all its slots.
const DefaultSlowStart = 10 * time.Second

// coldFraction is the fraction of its slots that an upstream gets at the start of the ramp.
const coldFraction = 0.1

// When an upstream sheds, its limit is set to shedFactor times the number of running requests or the
// previous limit, whichever is lower, at most once per shedInterval. It then rises by the fraction
// shedRecovery of the slots per second (additive increase, multiplicative decrease; Chiu and Jain 1989).
const (
	shedFactor   = 0.75
	shedInterval = 100 * time.Millisecond
	shedRecovery = 0.1
)

// limits computes the concurrency limit of an upstream.
type limits struct {
	slots     int
	slowStart time.Duration
	coldSince time.Time
	// ceiling is the limit at shedAt, and rises from then on. A zero shedAt means no ceiling.
	ceiling float64
	shedAt  time.Time
}

func (l *limits) open(slots int, slowStart time.Duration, now time.Time) {
	*l = limits{slots: slots, slowStart: slowStart, coldSince: now}
}

// cold reports whether the ramp is still in progress.
func (l *limits) cold(now time.Time) bool { return now.Sub(l.coldSince) < l.slowStart }

// setCold restarts the ramp if it has ended, and reports whether it had.
func (l *limits) setCold(now time.Time) bool {
	if l.cold(now) {
		return false
	}
	l.coldSince = now
	return true
}

func (l *limits) shed(inUse int, now time.Time) {
	if !l.shedAt.IsZero() && now.Sub(l.shedAt) < shedInterval {
		return
	}
	l.ceiling = max(1, min(l.allowed(now), float64(inUse))*shedFactor)
	l.shedAt = now
}

// allowed returns the limit without the ramp.
func (l *limits) allowed(now time.Time) float64 {
	all := float64(l.slots)
	if l.shedAt.IsZero() {
		return all
	}
	return min(all, l.ceiling+now.Sub(l.shedAt).Seconds()*shedRecovery*all)
}

// current returns the current concurrency limit, at least 1.
func (l *limits) current(now time.Time) int {
	limit := l.allowed(now)
	if l.cold(now) {
		fraction := coldFraction + (1-coldFraction)*float64(now.Sub(l.coldSince))/float64(l.slowStart)
		limit = min(limit, fraction*float64(l.slots))
	}
	return max(1, int(limit))
}
